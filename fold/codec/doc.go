// Package codec encodes records and messages as CBOR behind one version byte.
package codec
