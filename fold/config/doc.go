// Package config reads settings and manifests, which are JSON with comments. Its errors name the line.
package config
