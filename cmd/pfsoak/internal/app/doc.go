// Package app is a soak test of separate processes: entries on loopback, a stand-in platform behind proxies, callers, and a
// random schedule of faults. What callers and hosts see is judged by package model.
package app
