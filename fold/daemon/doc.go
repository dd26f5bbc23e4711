// Package daemon assembles and runs an entry process from its settings.
package daemon
