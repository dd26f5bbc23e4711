// Package gauge estimates run times and peak resource use from finished tasks, because declared values can be wrong.
package gauge
