package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// calls are calls that one leader asks a relay to make.
type calls struct {
	SentAt time.Duration `cbor:"1,keyasint"` // by the leader's clock, which counts suspension
	Calls  []call        `cbor:"2,keyasint"`
	// Payloads are those of the starts, each once: the tasks of a job have the same.
	Payloads []string `cbor:"3,keyasint,omitempty"`
}

// newCalls returns a message of calls whose starts share their payloads.
func newCalls(sentAt time.Duration, cs []call) *calls {
	m := &calls{SentAt: sentAt, Calls: cs}
	known := map[string]int{}
	for i := range cs {
		c := &cs[i]
		if c.Start == nil || c.Start.Payload == "" {
			continue
		}
		n := known[c.Start.Payload]
		if n == 0 {
			m.Payloads = append(m.Payloads, c.Start.Payload)
			n = len(m.Payloads)
			known[c.Start.Payload] = n
		}
		start := *c.Start
		start.Payload = ""
		c.Start, c.Payload = &start, n
	}
	return m
}

// unshare gives each start its payload back. It returns false if one is missing.
func (m *calls) unshare() bool {
	for i := range m.Calls {
		c := &m.Calls[i]
		if c.Payload < 0 || c.Payload > len(m.Payloads) || c.Payload > 0 && c.Start == nil {
			return false
		}
		if c.Payload > 0 {
			c.Start.Payload = m.Payloads[c.Payload-1]
		}
	}
	return true
}

// call is one call to a worker. One of Start, Stop and Poll is set.
type call struct {
	ID      uint64                     `cbor:"1,keyasint"`
	Target  workerclient.Target        `cbor:"2,keyasint"`
	Timeout model.Duration             `cbor:"3,keyasint"`
	Start   *workerclient.StartCommand `cbor:"4,keyasint,omitempty"`
	Stop    *workerclient.StopCommand  `cbor:"5,keyasint,omitempty"`
	Poll    *workerclient.PollRequest  `cbor:"6,keyasint,omitempty"`
	Payload int                        `cbor:"7,keyasint,omitempty"` // number of the start's payload; zero: it has none
}

// results are the results of calls, in no order.
type results struct {
	Results []result `cbor:"1,keyasint"`
}

// result is the result of one call.
type result struct {
	ID      uint64                 `cbor:"1,keyasint"`
	Command *workerclient.Response `cbor:"2,keyasint,omitempty"` // of a start or stop
	Poll    *pollResult            `cbor:"3,keyasint,omitempty"`
	Refused bool                   `cbor:"4,keyasint,omitempty"` // the relay has not made the call, and will not
}

// pollResult is the result of a poll: a response, or why there is none.
type pollResult struct {
	Response         *workerclient.PollResponse `cbor:"1,keyasint,omitempty"`
	Unreadable       string                     `cbor:"2,keyasint,omitempty"` // why the first row cannot be read
	Failure          string                     `cbor:"3,keyasint,omitempty"`
	OtherIncarnation bool                       `cbor:"4,keyasint,omitempty"`
	Fenced           bool                       `cbor:"5,keyasint,omitempty"`
	ConnectionEnded  bool                       `cbor:"6,keyasint,omitempty"`
}

// newPollResult returns what a relay sends of the result of a poll.
func newPollResult(resp *workerclient.PollResponse, err error) *pollResult {
	if err != nil {
		return &pollResult{
			Failure:          err.Error(),
			OtherIncarnation: errors.Is(err, workerclient.ErrOtherIncarnation),
			Fenced:           errors.Is(err, workerclient.ErrFenced),
			ConnectionEnded:  errors.Is(err, workerclient.ErrConnectionEnded),
		}
	}
	out := &pollResult{Response: resp}
	if first := resp.Unreadable.First; first != nil {
		out.Unreadable = first.Error()
	}
	return out
}

// result returns the response to the poll or its error.
func (r *pollResult) result() (*workerclient.PollResponse, error) {
	if r.Response == nil {
		return nil, r.err()
	}
	if r.Unreadable != "" {
		r.Response.Unreadable.Record(errors.New(r.Unreadable))
	}
	return r.Response, nil
}

func (r *pollResult) err() error {
	err := errors.New(r.Failure)
	for _, known := range []struct {
		is  bool
		err error
	}{
		{r.OtherIncarnation, workerclient.ErrOtherIncarnation},
		{r.Fenced, workerclient.ErrFenced},
		{r.ConnectionEnded, workerclient.ErrConnectionEnded},
	} {
		if known.is {
			err = fmt.Errorf("%w: %w", known.err, err)
		}
	}
	return err
}
