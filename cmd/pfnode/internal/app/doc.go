// Package app implements the command line of the entry daemon on the users' platform.
package app
