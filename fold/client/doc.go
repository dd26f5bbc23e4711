// Package client reaches the platform, workers and endpoints over HTTP.
package client
