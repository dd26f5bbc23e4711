// Package app implements the command line of the load generator.
package app
