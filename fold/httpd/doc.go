// Package httpd implements the HTTP API of an entry for callers and operators.
package httpd
