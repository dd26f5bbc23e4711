// Package httpd serves callers and operators over HTTP.
package httpd
