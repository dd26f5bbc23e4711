// Package app implements the command line of the stand-in workers and endpoints.
package app
