// Package gauge corrects declared run times and shows declared sizes that are not used.
package gauge
