// Package telem sets up logs, metrics and traces.
package telem
