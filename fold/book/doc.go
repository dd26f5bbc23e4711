// Package book finds the queue of a request and the team of a key in a revision of the configuration.
package book
