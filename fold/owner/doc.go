// Package owner tracks the membership of entries and decides who owns pools and claim ranges and who may act.
package owner
