// Package app implements the command line of the stand-in platform.
package app
