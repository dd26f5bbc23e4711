// Package worker simulates the platform's workers and endpoints, in memory and over HTTP.
package worker
