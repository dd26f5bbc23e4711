// Package store keeps typed records in the platform's table service: group commit, lost replies and a circuit breaker.
package store
