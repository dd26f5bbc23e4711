// Package book looks up the queue of a request and the team of a key in one revision of the configuration.
package book
