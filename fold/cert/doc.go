// Package cert keeps the certificates of an entry up to date with their files.
package cert
