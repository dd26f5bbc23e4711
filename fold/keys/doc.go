// Package keys issues and verifies the bearer keys of callers and operators.
package keys
