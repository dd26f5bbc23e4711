// Package remote is a client of the callers' and operators' API of an entry.
package remote
