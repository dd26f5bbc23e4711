// Package quota splits a team's fleet-wide limit into allotments of pools whose sum never exceeds it.
package quota
