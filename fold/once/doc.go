// Package once grants claims on request ids, so that a non-idempotent request runs at most once.
package once
