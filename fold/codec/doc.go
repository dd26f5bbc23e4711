// Package codec encodes records and messages as a version byte followed by CBOR.
package codec
