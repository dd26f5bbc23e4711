// Package entry puts one entry process together: membership, pools, requests, jobs and configuration.
package entry
