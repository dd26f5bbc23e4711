// Package app measures how state, messages and processor time grow with the size of a cell.
package app
