// Package app runs a small cell on loopback and shows what happens to three kinds of work.
package app
