// Package app is the command line of the entry daemon.
package app
