// Package route chooses endpoints for requests.
package route
