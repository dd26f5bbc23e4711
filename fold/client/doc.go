// Package client implements the HTTP clients of the platform, of workers and of endpoints.
package client
