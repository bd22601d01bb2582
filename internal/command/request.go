package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/filbertmast/filbertmast/internal/client"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
)

// requestCommand sends one request to a service and prints the response.
type requestCommand struct {
	Service        string        `arg:"positional,required" placeholder:"SERVICE" help:"name of a declared service"`
	Body           string        `arg:"positional" placeholder:"FILE" help:"body, or - for standard input; default: empty"`
	ContentType    string        `arg:"--content-type" default:"application/octet-stream"`
	NotRepeatable  bool          `arg:"--not-repeatable" help:"run it at most once"`
	IdempotencyKey string        `arg:"--idempotency-key" placeholder:"KEY" help:"one key for all sendings of one request"`
	Deadline       time.Duration `arg:"--deadline" help:"when an answer is of no more use; default: the service's"`
	Patience       time.Duration `arg:"--patience" help:"more patient requests are shed first"`
	connection
	output
}

func (*requestCommand) describe() string {
	return `Sends a request to a service and writes the executor's answer to standard output.
With --not-repeatable the request runs at most once, however often it is sent
under one key. Exit code 7 means that the executor answered with an error status.
`
}

func (c *requestCommand) run(ctx context.Context, a *app) error {
	ctx, cancel, cl, err := c.prepare(ctx, a, c.output)
	if err != nil {
		return err
	}
	defer cancel()
	o, err := c.options(a)
	if err != nil {
		return err
	}
	answer, err := cl.Request(ctx, c.Service, o)
	if err != nil {
		if c.NotRepeatable {
			return a.withResendHint(err, o.IdempotencyKey)
		}
		return err
	}
	if _, err := a.Out.Write(answer.Body); err != nil {
		return err
	}
	if answer.Status >= http.StatusBadRequest {
		return &exitError{code: errkind.ExitJobFailed, message: fmt.Sprintf("the executor answered with status %d", answer.Status)}
	}
	return nil
}

func (c *requestCommand) options(a *app) (client.RequestOptions, error) {
	o := client.RequestOptions{
		ContentType:    c.ContentType,
		NotRepeatable:  c.NotRepeatable,
		IdempotencyKey: c.IdempotencyKey,
		Deadline:       model.Duration(c.Deadline),
		Patience:       model.Duration(c.Patience),
	}
	if c.NotRepeatable && o.IdempotencyKey == "" {
		o.IdempotencyKey = client.NewIdempotencyKey()
	}
	if c.Body == "" {
		return o, nil
	}
	var err error
	o.Body, err = a.readInput(c.Body)
	return o, err
}
