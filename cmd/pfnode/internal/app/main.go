package app

import (
	"io"

	"plantainfold.example/fold/launch"
)

// Main runs the command that args name and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := launch.Context()
	defer stop()
	return launch.RunCommands("pfnode", "Entry daemon of plantainfold on the users' platform. Example: pfnode serve --settings node.json", args, stdout, stderr,
		launch.Command{Name: "serve", Short: "Serve until SIGTERM, then stop gracefully", Run: &serveCommand{ctx: ctx, stdout: stdout}},
		launch.Command{Name: "check", Short: "Check the settings without starting", Run: &checkCommand{stdout: stdout}},
		launch.Command{Name: "explain", Short: "Print where the tasks of a job would go now, without submitting it", Run: &explainCommand{ctx: ctx, stdout: stdout}},
	)
}
