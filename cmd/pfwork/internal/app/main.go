package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/httpd"
	"plantainfold.example/fold/launch"
	"plantainfold.example/fold/worker"
)

// options are the flags of the program.
type options struct {
	Listen      string        `long:"listen" default:"127.0.0.1:7100" description:"IP address and port"`
	Platform    string        `long:"platform" default:"http://127.0.0.1:7000" description:"base URL of the instance list"`
	Region      string        `long:"region" default:"lima" description:"region of the workers"`
	Domains     int           `long:"domains" default:"3" description:"failure domains"`
	Racks       int           `long:"racks" default:"2" description:"racks in each failure domain"`
	Workers     int           `long:"workers" default:"8" description:"workers in each rack"`
	CPU         int64         `long:"cpu" default:"64000" description:"thousandths of a core of each worker"`
	Memory      int64         `long:"memory" default:"131072" description:"MiB of each worker"`
	Accel       int64         `long:"accel" default:"0" description:"accelerators of each worker"`
	Service     string        `long:"service" default:"planning" description:"service of the endpoints"`
	Slots       int           `long:"slots" default:"8" description:"requests that an endpoint runs at once"`
	ServiceTime time.Duration `long:"time" default:"20ms" description:"service time of a request"`
}

// Main serves the workers until SIGTERM or an interrupt and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := launch.Context()
	defer stop()
	var opts options
	if code, ok := launch.ParseOptions(&opts, args, stdout, stderr); !ok {
		return code
	}
	return launch.ReportError("pfwork", serve(ctx, opts, stdout), stderr)
}

func serve(ctx context.Context, opts options, stdout io.Writer) error {
	listener, err := httpd.Listen(ctx, opts.Listen)
	if err != nil {
		return err
	}
	site := worker.NewSite()
	base := "http://" + listener.Addr().String()
	for d := range opts.Domains {
		domain := fmt.Sprintf("%s-%c", opts.Region, 'a'+d)
		for r := range opts.Racks {
			for n := range opts.Workers {
				if err := addWorker(ctx, site, opts, base, domain, fmt.Sprintf("%s-r%d", domain, r), n); err != nil {
					return err
				}
			}
		}
	}
	_, _ = fmt.Fprintf(stdout, "%d workers on %s\n", opts.Domains*opts.Racks*opts.Workers, base)
	return httpd.Serve(ctx, listener, site.Handler())
}

// addWorker adds worker n of a rack and its endpoint to the site and to the instance list.
func addWorker(ctx context.Context, site *worker.Site, opts options, base, domain, rack string, n int) error {
	name := fmt.Sprintf("%s-w%d", rack, n)
	clock := fold.BootClock{}
	capacity := fold.Resources{CPU: opts.CPU, Memory: opts.Memory, Accel: opts.Accel}
	faults := worker.NewFaults(clock)
	w := worker.New(name, capacity, clock, worker.WithFailures(faults.Fails))
	site.Add(name, worker.NewMember(w, worker.NewEndpoint(opts.Slots, opts.ServiceTime, clock), rack, faults))
	instance := fold.Instance{
		Name:     name,
		Role:     fold.RoleWorker,
		Address:  base + "/" + name,
		Region:   opts.Region,
		Domain:   domain,
		Rack:     rack,
		State:    fold.Live,
		Capacity: capacity,
	}
	if err := register(ctx, opts.Platform, instance); err != nil {
		return err
	}
	instance.Name += "-endpoint"
	instance.Role = fold.RoleEndpoint
	instance.Service = opts.Service
	instance.Slots = opts.Slots
	return register(ctx, opts.Platform, instance)
}

// register adds an instance to the instance list of the platform.
func register(ctx context.Context, platform string, instance fold.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, platform+"/v1/instances/"+instance.Name, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
