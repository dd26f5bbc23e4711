// Package plat is a stand-in for the platform: table service, object store and instance list, in memory and over HTTP.
package plat
