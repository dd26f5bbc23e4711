// Package front serves callers at every entry: it takes jobs into the table, tells their state and takes wishes to
// cancel them. It needs no contact with the owner of the pool; the table tells the owner.
package front
