// Package app is the command line of the stand-in platform.
package app
