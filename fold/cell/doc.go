// Package cell runs a whole small cell in one process on loopback: stand-in platform, workers, endpoints and entries.
package cell
