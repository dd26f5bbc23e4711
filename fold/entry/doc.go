// Package entry runs one entry process: its membership in the cell, its pools, jobs, requests and configuration.
package entry
