package plat

import (
	"net/http"

	"plantainfold.example/fold"
)

// Platform is the stand-in platform with its faults.
type Platform struct {
	// Table, Objects and Fleet hold the state; Fleet shows it with the faults of FleetFaults.
	Table   *Table
	Objects *Objects
	Fleet   *FaultyFleet
	// Meter counts the calls of the table service that arrive.
	Meter *Meter

	TableFaults   *Switch
	ObjectsFaults *Switch
	FleetFaults   *Switch
}

// New returns an empty platform without faults.
func New(clock fold.Clock) *Platform {
	p := &Platform{
		Table:         NewTable(),
		Objects:       NewObjects(),
		TableFaults:   NewSwitch(clock),
		ObjectsFaults: NewSwitch(clock),
		FleetFaults:   NewSwitch(clock),
	}
	p.Fleet = NewFaultyFleet(NewFleet(), p.FleetFaults)
	p.Meter = NewMeter(NewFaultyTable(p.Table, p.TableFaults), clock)
	return p
}

// Handler serves the platform, its faults and its counts over HTTP.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", Handler(p.Meter, NewFaultyObjects(p.Objects, p.ObjectsFaults), p.Fleet))
	mux.HandleFunc("POST /v1/faults", p.setFault)
	mux.HandleFunc("GET /v1/faults", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, map[string]Fault{
			"table":   p.TableFaults.Fault(),
			"objects": p.ObjectsFaults.Fault(),
			"fleet":   p.FleetFaults.Fault(),
		}, nil)
	})
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, p.Meter.Stats(), nil)
	})
	return mux
}

// setFault replaces the fault of the service that the body names.
func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var body struct {
		// Service is table, objects or fleet.
		Service string `json:"service"`
		Fault
	}
	if !read(w, r, &body) {
		return
	}
	switches := map[string]*Switch{"table": p.TableFaults, "objects": p.ObjectsFaults, "fleet": p.FleetFaults}
	s, ok := switches[body.Service]
	if !ok {
		http.Error(w, "name the service: table, objects or fleet", http.StatusBadRequest)
		return
	}
	s.Set(body.Fault)
	answer(w, struct{}{}, nil)
}
