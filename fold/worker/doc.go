// Package worker is a stand-in for the platform's workers and endpoints, in memory and over HTTP.
package worker
