// Package spec describes the manifest: teams, client accounts, queues, work and policy.
package spec
