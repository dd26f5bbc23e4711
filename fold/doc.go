// Package fold holds the value types, error kinds and interfaces that the parts of plantainfold share.
package fold
