// Package once grants claims, so that a non-idempotent request runs at most once.
package once
