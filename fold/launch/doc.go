// Package launch holds the command-line code that all programs share: exit codes, usage messages and error messages.
package launch
