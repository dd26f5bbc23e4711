// Package launch holds the command-line code that most programs share: subcommands, options, exit codes, usage messages and
// error messages.
package launch
