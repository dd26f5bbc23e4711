// Package remote is an HTTP client for the API that entries offer to callers and operators.
package remote
