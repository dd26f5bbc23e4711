// Package app implements the command line of the entry daemon.
package app
