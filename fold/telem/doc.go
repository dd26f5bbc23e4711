// Package telem sets up logs, metrics and traces, and keeps the recent events of an entry.
package telem
