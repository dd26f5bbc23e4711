package app

import (
	"io"

	"plantainfold.example/fold/launch"
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := launch.Context()
	defer stop()
	return launch.RunCommands("pfentry", "Entry daemon of plantainfold. Example: pfentry serve --settings entry.json", args, stdout, stderr,
		launch.Command{Name: "serve", Short: "Serve until SIGTERM, then stop gracefully", Run: &serveCommand{ctx: ctx, stderr: stderr}},
		launch.Command{Name: "check", Short: "Check the settings without starting", Run: &checkCommand{stdout: stdout}},
	)
}
