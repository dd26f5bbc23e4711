// Package app runs a small cell on loopback and prints how it runs a service request, a batch job and an all-at-once job.
package app
