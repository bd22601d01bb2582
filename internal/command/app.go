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

// app is what a running command needs of its surroundings.
type app struct {
	Streams
	json bool // machines read the output
}

// output is the option of commands that write for people or for machines.
type output struct {
	JSON bool `arg:"--json" help:"write JSON, errors too"`
}

// exitError ends a command with a code of its own after the message, if any.
type exitError struct {
	code    int
	message string
}

// Error implements error.
func (e *exitError) Error() string { return e.message }

// usageErrorf returns an error about the command line or its input files.
func usageErrorf(format string, args ...any) error {
	return &exitError{code: errkind.ExitUsage, message: fmt.Sprintf(format, args...)}
}

// finish tells err and returns the exit code.
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

// errorJSON is what commands write to the error stream with --json.
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
	// A stream of errors that cannot be written leaves nobody to tell.
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
		// The error is of this process: there is no call to tell more about.
		return
	}
	fmt.Fprintln(a.Err, "      ", errorDetails(body))
	fmt.Fprintln(a.Err, "      ", errkind.RowOf(body.Kind).Advice)
}

// errorDetails says in one line what is known of an error.
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

// writeJSON writes one value for machines.
func (a *app) writeJSON(v any) error {
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printf writes for people.
func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.Out, format, args...)
}

// table writes rows in aligned columns.
func (a *app) table(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// maxInputBytes bounds a file or standard input that a command sends.
const maxInputBytes = 64 << 20

// open opens a file for reading, or standard input for "-".
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

// readInput reads a file, or standard input for "-".
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
