package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// app holds the streams and the output mode of a running command.
type app struct {
	Streams
	json bool // whether output and errors are written as JSON
}

// output holds the options for the output format of a command.
type output struct {
	JSON bool `arg:"--json" help:"write JSON, errors too"`
}

// exitError ends a command with the given exit code. The message is printed
// unless it is empty.
type exitError struct {
	code    int
	message string
}

// Error implements error.
func (e *exitError) Error() string { return e.message }

// usageErrorf returns an exitError with the code ExitUsage, for errors in the
// command line or its input files.
func usageErrorf(format string, args ...any) error {
	return &exitError{code: errkind.ExitUsage, message: fmt.Sprintf(format, args...)}
}

// finish prints err to the error stream and returns the exit code for it.
func (a *app) finish(err error) int {
	if err == nil {
		return errkind.ExitOK
	}
	code := exitCode(err)
	if a.json {
		a.writeJSONError(err)
		return code
	}
	a.writeTextError(err)
	return code
}

func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var problems strict.Problems
	if errors.As(err, &problems) {
		return errkind.ExitUsage
	}
	return errkind.RowOf(errkind.Of(err)).Exit
}

// errorJSON is the error object that commands write to the error stream with
// --json.
type errorJSON struct {
	errkind.Body
	Exit     int             `json:"exit"`
	Problems strict.Problems `json:"problems,omitempty"`
}

func (a *app) writeJSONError(err error) {
	out := errorJSON{Exit: exitCode(err)}
	var exit *exitError
	switch {
	case errors.As(err, &out.Problems):
		out.Body = errkind.Body{Kind: errkind.BadRequest, Message: "the input has problems", NotRun: true}
	case errors.As(err, &exit):
		out.Body = errkind.Body{Message: exit.message}
	default:
		out.Body = client.BodyOf(err)
	}
	// If the error stream cannot be written, the error cannot be reported.
	_ = json.NewEncoder(a.Err).Encode(out)
}

func (a *app) writeTextError(err error) {
	var exit *exitError
	var problems strict.Problems
	switch {
	case errors.As(err, &problems):
		fmt.Fprintln(a.Err, problems.Error())
		fmt.Fprintf(a.Err, "%d problem(s)\n", len(problems))
		return
	case errors.As(err, &exit):
		if exit.message != "" {
			fmt.Fprintln(a.Err, "error:", exit.message)
		}
		return
	}
	body := client.BodyOf(err)
	fmt.Fprintln(a.Err, "error:", body.Message)
	if body.Kind == errkind.Internal && body.RequestID == "" {
		// The error arose in this process, so there are no details of a call.
		return
	}
	fmt.Fprintln(a.Err, "      ", errorDetails(body))
	fmt.Fprintln(a.Err, "      ", errkind.RowOf(body.Kind).Advice)
}

// errorDetails returns the kind of an error, whether the call was not run, and
// the request ID if there is one, separated by commas.
func errorDetails(b errkind.Body) string {
	details := []string{"kind " + string(b.Kind)}
	if b.NotRun {
		details = append(details, "not run")
	}
	if b.RequestID != "" {
		details = append(details, "request "+b.RequestID)
	}
	return strings.Join(details, ", ")
}

// writeJSON writes v to the output as indented JSON.
func (a *app) writeJSON(v any) error {
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printf writes formatted text to the output.
func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.Out, format, args...)
}

// table writes a header and rows in aligned columns.
func (a *app) table(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// maxInputBytes is the maximum size of a file or of standard input that a
// command reads.
const maxInputBytes = 64 << 20

// open opens a file for reading, or standard input if name is "-".
func (a *app) open(name string) (io.ReadCloser, error) {
	if name == "-" {
		return io.NopCloser(a.In), nil
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	return f, nil
}

// readInput reads a whole file, or standard input if name is "-". It returns a
// usage error if the input cannot be read or exceeds maxInputBytes.
func (a *app) readInput(name string) ([]byte, error) {
	in, err := a.open(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	data, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err != nil {
		return nil, usageErrorf("%s cannot be read: %v", name, err)
	}
	if len(data) > maxInputBytes {
		return nil, usageErrorf("%s has more than %d bytes", name, maxInputBytes)
	}
	return data, nil
}
