// Package route chooses endpoints for requests: it bounds load, prefers the near, ejects the failing and budgets retries.
package route
