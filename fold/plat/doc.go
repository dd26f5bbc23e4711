// Package plat provides stand-ins for the platform's table service, object store and instance list, in memory and over
// HTTP. It injects faults and counts the calls of the table service.
package plat
