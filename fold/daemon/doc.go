// Package daemon assembles an entry process from its settings.
package daemon
