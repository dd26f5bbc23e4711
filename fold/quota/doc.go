// Package quota splits the fleet-wide limit of a team into one allotment for each pool. The sum of the allotments never
// grows beyond the limit.
package quota
