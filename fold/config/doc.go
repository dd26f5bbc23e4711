// Package config reads settings and manifests written as JSON with comments and reports errors by line.
package config
