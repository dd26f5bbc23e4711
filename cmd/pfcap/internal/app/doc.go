// Package app measures how memory, messages, processor time and table writes grow with the size of a cell, and extrapolates
// them to the size that the users expect in two years.
package app
