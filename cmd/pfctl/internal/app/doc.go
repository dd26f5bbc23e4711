// Package app is the command line of pfctl.
package app
