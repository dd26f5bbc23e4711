// Package app is the command line of the load tool.
package app
