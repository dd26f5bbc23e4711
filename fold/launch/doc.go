// Package launch holds what the command lines of all programs share: exit codes, usage and errors.
package launch
