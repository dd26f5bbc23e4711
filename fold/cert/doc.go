// Package cert reads TLS certificates from files and reloads them when the files change.
package cert
