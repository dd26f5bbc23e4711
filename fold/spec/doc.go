// Package spec defines, checks and compares manifests, in which operators declare teams, client accounts, queues,
// services, jobs and policy.
package spec
