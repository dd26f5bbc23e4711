// Package app implements the command line of pfctl.
package app
