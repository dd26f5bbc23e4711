// Package app implements a soak test with separate processes: entries on loopback, a simulated platform behind proxies,
// simulated callers, and a random schedule of faults. Package model checks what callers and hosts see.
//
// Test runs without --basic, --links and --calm, or with --evacuate, also evacuate failure domains, mostly with the owner
// killed meanwhile. The check EVAC reports tasks that start in such a domain more than 5 s after the store has accepted the
// request. Losses of contact excuse starts, least with --calm --evacuate. With --learn, the entries run with the settings
// "speeds": true and "pastuse": {"halflife": 3600e3, "floor": 0}.
package app
