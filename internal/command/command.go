// Package command implements the command line of filbertmast.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

const programName = "filbertmast"

const description = `filbertmast is a cluster scheduler for unlike workloads: services, batch jobs,
gangs and requests share one pool of workers, and work that can wait pays less.

To try it, run "filbertmast dev", which tells how to go on from a second terminal.
`

const epilogue = `Run "filbertmast COMMAND --help" for what one command does and takes.
Exit codes: 0 done, 1 internal error, 2 wrong usage or input, 3 refused, 4 conflict,
5 not run, try later, 6 may have run, 7 ended badly.`

// arguments are the subcommands; after parsing, the selected one is not nil.
type arguments struct {
	Serve        *serveCommand        `arg:"subcommand:serve" help:"run one process of a deployment"`
	Dev          *devCommand          `arg:"subcommand:dev" help:"run everything in one process and an example job"`
	Check        *checkCommand        `arg:"subcommand:check" help:"check settings and declarations"`
	Apply        *applyCommand        `arg:"subcommand:apply" help:"put a folder of declarations in force"`
	Diff         *diffCommand         `arg:"subcommand:diff" help:"show what apply would change"`
	Submit       *submitCommand       `arg:"subcommand:submit" help:"submit a job"`
	Get          *getCommand          `arg:"subcommand:get" help:"show jobs, and why they wait"`
	Wait         *waitCommand         `arg:"subcommand:wait" help:"wait for the end of a job"`
	Cancel       *cancelCommand       `arg:"subcommand:cancel" help:"cancel jobs"`
	Workflow     *workflowCommand     `arg:"subcommand:workflow" help:"submit, show and cancel workflows"`
	Request      *requestCommand      `arg:"subcommand:request" help:"send a request to a service"`
	Workers      *workersCommand      `arg:"subcommand:workers" help:"list workers"`
	Cordon       *cordonCommand       `arg:"subcommand:cordon" help:"give workers no new work"`
	Drain        *drainCommand        `arg:"subcommand:drain" help:"move all work away from workers"`
	Open         *openCommand         `arg:"subcommand:open" help:"give workers new work again"`
	Evacuate     *evacuateCommand     `arg:"subcommand:evacuate" help:"send no new work to a failure domain"`
	Status       *statusCommand       `arg:"subcommand:status" help:"show the state of a deployment"`
	Keys         *keysCommand         `arg:"subcommand:keys" help:"make, digest and withdraw keys"`
	Certificates *certificatesCommand `arg:"subcommand:certs" help:"make certificates for the processes"`
	Explain      *explainCommand      `arg:"subcommand:explain" help:"tell the story of one ID from logs"`
	Standin      *standinCommand      `arg:"subcommand:standin" help:"run a stand-in worker or executor"`
	Measure      *measureCommand      `arg:"subcommand:measure" help:"measure how the parts grow with size"`
	Version      *versionCommand      `arg:"subcommand:version" help:"show the version"`
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string { return epilogue }

// runner is a subcommand with its parsed arguments.
type runner interface {
	run(ctx context.Context, a *app) error
}

// describer is a subcommand whose help begins with a description.
type describer interface {
	describe() string
}

// Streams are the standard streams of a command.
type Streams struct {
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Terminal bool // whether Err is a terminal; progress is shown only there
}

// Run runs one command line, given without the program's name, and returns the
// exit code.
func Run(ctx context.Context, args []string, s Streams) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: programName}, &parsed)
	if err != nil {
		fmt.Fprintln(s.Err, err)
		return errkind.ExitInternal
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		writeHelp(s.Out, parser)
		return errkind.ExitOK
	}
	if err != nil {
		return reportUsageError(s.Err, parser, err)
	}
	command, ok := parser.Subcommand().(runner)
	if !ok {
		writeHelp(s.Err, parser)
		return errkind.ExitUsage
	}
	a := &app{Streams: s}
	return a.finish(command.run(ctx, a))
}

func writeHelp(w io.Writer, parser *arg.Parser) {
	switch command := parser.Subcommand().(type) {
	case nil:
		fmt.Fprintf(w, "%s\n", description)
	case describer:
		fmt.Fprintf(w, "%s\n", command.describe())
	}
	parser.WriteHelp(w)
}

func reportUsageError(w io.Writer, parser *arg.Parser, err error) int {
	names := parser.SubcommandNames()
	// The names come from the parser itself, so the lookup cannot fail.
	_ = parser.WriteUsageForSubcommand(w, names...)
	fmt.Fprintln(w, "error:", err)
	return errkind.ExitUsage
}
