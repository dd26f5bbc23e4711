//go:build wireinject

package daemon

import (
	"github.com/google/wire"

	"plantainfold.example/fold/entry"
)

// New assembles an entry process.
func New(s entry.Settings, out Outputs) (*Daemon, error) {
	wire.Build(provideLogger, provideTelemetry, providePlatform, provideClock, provideAPI, entry.New, newDaemon)
	return nil, nil
}
