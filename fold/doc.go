// Package fold holds the value types, error kinds and interfaces that all packages of plantainfold share.
package fold
