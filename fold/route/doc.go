// Package route chooses an endpoint for each request. It limits the load of endpoints, prefers endpoints of the own
// failure domain, ejects failing endpoints and limits retries.
package route
