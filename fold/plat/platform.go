package plat

import (
	"net/http"

	"plantainfold.example/fold"
)

// Platform is a stand-in for the platform whose services can be made to fail.
type Platform struct {
	// Table is the table service without faults.
	Table *Table
	// Objects is the object store without faults.
	Objects *Objects
	// Fleet is the instance list with the faults of FleetFaults.
	Fleet *FaultyFleet
	// Meter is the table service with the faults of TableFaults. It counts the calls.
	Meter *Meter

	TableFaults   *Faults
	ObjectsFaults *Faults
	FleetFaults   *Faults
}

// New returns an empty platform without faults.
func New(clock fold.Clock) *Platform {
	p := &Platform{
		Table:         NewTable(),
		Objects:       NewObjects(),
		TableFaults:   NewFaults(clock),
		ObjectsFaults: NewFaults(clock),
		FleetFaults:   NewFaults(clock),
	}
	p.Fleet = NewFaultyFleet(NewFleet(), p.FleetFaults)
	p.Meter = NewMeter(NewFaultyTable(p.Table, p.TableFaults), clock)
	return p
}

// Handler serves the platform, the settings of its faults and the counts of Meter over HTTP.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", Handler(p.Meter, NewFaultyObjects(p.Objects, p.ObjectsFaults), p.Fleet))
	mux.HandleFunc("POST /v1/faults", p.setFault)
	mux.HandleFunc("GET /v1/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, map[string]Fault{
			"table":   p.TableFaults.Fault(),
			"objects": p.ObjectsFaults.Fault(),
			"fleet":   p.FleetFaults.Fault(),
		}, nil)
	})
	mux.HandleFunc("GET /v1/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, p.Meter.Stats(), nil)
	})
	return mux
}

// setFault replaces the fault of the service that is named in the request body.
func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var body struct {
		// Service is table, objects or fleet.
		Service string `json:"service"`
		Fault
	}
	if !readJSON(w, r, &body) {
		return
	}
	services := map[string]*Faults{"table": p.TableFaults, "objects": p.ObjectsFaults, "fleet": p.FleetFaults}
	faults, ok := services[body.Service]
	if !ok {
		http.Error(w, "name the service: table, objects or fleet", http.StatusBadRequest)
		return
	}
	faults.Set(body.Fault)
	writeReply(w, struct{}{}, nil)
}
