package route

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
)

// keptHeaders are the headers of an answer that the journal keeps.
var keptHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Etag", "Location"}

// once serves a request that must run at most once. It goes on to its end when
// the caller goes, so that a resend can be told what became of it.
func (r *Router) once(ctx context.Context, req *Request, done func()) (*Answer, error) {
	body, err := newReplayBody(req.Body, req.Size, r.opts.JournalBytes)
	if err != nil {
		done()
		return nil, err
	}
	if !body.whole() {
		done()
		return nil, errkind.New(errkind.BodyTooLarge, "a request that is not repeatable may have %d bytes", r.opts.JournalBytes)
	}
	o := &onceCall{
		call: call{router: r, req: req, body: body},
		key:  journal.Key{Team: req.Team, RequestID: req.ID},
	}
	o.digest = digestOf(req, body.kept)
	o.writer = r.opts.Entry + "/" + uuid.NewString()
	long, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	result := make(chan answered, 1)
	go func() {
		ans, err := o.run(long, func() { cancel(); done() })
		result <- answered{ans, err}
	}()
	select {
	case a := <-result:
		return a.ans, a.err
	case <-ctx.Done():
		go dropAnswer(result)
		return nil, abandoned(ctx)
	}
}

// answered is the result of a request that ran beside its caller.
type answered struct {
	ans *Answer
	err error
}

// dropAnswer reads an answer to its end for the journal's sake.
func dropAnswer(result <-chan answered) {
	a := <-result
	if a.err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, a.ans.Body)
	_ = a.ans.Body.Close()
}

// onceCall is a request that must run at most once.
type onceCall struct {
	call
	key    journal.Key
	digest [32]byte
	writer string
	fence  model.Fence
	permit *limit.Permit // nil while there is none
}

// run journals the start, runs the request and journals its end. Done is called
// when all of this is over.
func (o *onceCall) run(ctx context.Context, done func()) (*Answer, error) {
	// Without a key of the caller there is no earlier send to look up: the
	// permit comes first, which spares the journal under overload. With one it
	// comes last, so that a refusal speaks for all sends.
	if !o.req.Keyed {
		if err := o.acquire(ctx); err != nil {
			done()
			return nil, err
		}
	}
	ans, err, started := o.start(ctx)
	if !started {
		o.release()
		done()
		return ans, err
	}
	if err := o.admit(ctx); err != nil {
		o.release()
		o.abandon(done)
		return nil, err
	}
	ans, err = o.call.run(ctx)
	if err != nil {
		o.router.afterEnd(&o.call, o.release)
		o.abandon(done)
		return nil, err
	}
	return o.keep(ans, done)
}

// admit makes sure, after the start was journaled, that the request may be sent.
func (o *onceCall) admit(ctx context.Context) error {
	if !o.router.opts.Now().Before(o.req.Deadline) {
		return errkind.New(errkind.DeadlineBeforeStart, "the deadline passed before the start")
	}
	if o.permit != nil {
		return nil
	}
	return o.acquire(ctx)
}

func (o *onceCall) acquire(ctx context.Context) error {
	permit, err := o.router.opts.Permits.Acquire(ctx, o.req.Team, o.req.Deadline)
	o.permit = permit
	return err
}

func (o *onceCall) release() {
	if o.permit != nil {
		o.permit.Release()
	}
}

// start journals the start. Only with started true may the request be sent.
func (o *onceCall) start(ctx context.Context) (ans *Answer, err error, started bool) {
	r := o.router
	res, err := r.opts.Journal.Start(ctx, o.key, o.digest, o.writer, o.req.Deadline)
	r.countJournal("start", err)
	if err != nil {
		go o.settleStart()
		return nil, startFailed(ctx, err), false
	}
	if res.Outcome == journal.OutcomeNew {
		o.fence = res.Record.Fence
		return nil, nil, true
	}
	ans, err = told(&res)
	return ans, err, false
}

// startFailed returns what the caller is told when it is not known whether the
// start was journaled. Nothing was sent to a target.
func startFailed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return notStarted(ctx)
	}
	if errkind.RowOf(errkind.Of(err)).NotRun {
		return err
	}
	return errkind.Wrap(errkind.NoLeader, err, "the start could not be journaled")
}

// told returns what a resend is told of the record that it found.
func told(res *journal.StartResult) (*Answer, error) {
	switch res.Outcome {
	case journal.OutcomeConflict:
		return nil, errkind.New(errkind.IdempotencyConflict, "the key was used for another request")
	case journal.OutcomeFull:
		return nil, errkind.New(errkind.Overloaded, "too many requests that are not repeatable are on record")
	}
	rec := &res.Record
	switch {
	case rec.State == journal.Started:
		return nil, errkind.New(errkind.StillRunning, "an earlier send of the request is running")
	case rec.State == journal.Finished && rec.Answer != nil:
		return keptAnswer(rec.Answer), nil
	case rec.State == journal.Finished:
		return nil, errkind.New(errkind.AnswerTooLarge, "the request ran, its answer was too large to keep")
	}
	return nil, errkind.New(errkind.OutcomeUnknown, "an earlier send of the request may have run")
}

func keptAnswer(a *journal.Answer) *Answer {
	header := make(http.Header, len(a.Header))
	for _, kv := range a.Header {
		header.Add(kv[0], kv[1])
	}
	return &Answer{
		Status: a.Status,
		Header: header,
		Body:   io.NopCloser(bytes.NewReader(a.Body)),
		Size:   int64(len(a.Body)),
	}
}

// keep hands on the answer and journals it once it was whole.
func (o *onceCall) keep(ans *Answer, done func()) (*Answer, error) {
	kept := &keptBody{rc: ans.Body, most: o.router.opts.KeepBytes}
	ans.Body = kept
	return o.router.settle(ans, func(whole bool) {
		if !whole {
			o.router.afterEnd(&o.call, o.release)
			o.abandon(done)
			return
		}
		o.release()
		record := kept.answer(ans)
		o.end("finish", done, true, func(ctx context.Context) error {
			return o.router.opts.Journal.Finish(ctx, o.key, o.fence, record)
		})
	})
}

// abandon journals an end without an answer. When nothing ran it waits, so that
// a resend that follows the refusal finds the key free.
func (o *onceCall) abandon(done func()) {
	ran := o.mayRun
	o.end("abandon", done, !ran, func(ctx context.Context) error {
		return o.router.opts.Journal.Abandon(ctx, o.key, o.fence, ran)
	})
}

// end journals the end of the request by call, and then calls done. With wait it
// returns once that is committed, or after endWait, so that a resend which
// follows the answer finds the end of the first send.
func (o *onceCall) end(step string, done func(), wait bool, call func(context.Context) error) {
	ended := make(chan struct{})
	go func() {
		defer done()
		defer close(ended)
		o.journalEnd(step, call)
	}()
	if !wait {
		return
	}
	select {
	case <-ended:
	case <-time.After(endWait):
	}
}

// Times of the calls that end a record.
const (
	endWait         = 500 * time.Millisecond
	journalTimeout  = time.Second // of one call
	journalPause    = 50 * time.Millisecond
	journalPauseMax = 2 * time.Second
	journalGiveUp   = time.Minute // the record becomes unknown by itself
)

// journalEnd repeats an idempotent call until it succeeds.
func (o *onceCall) journalEnd(step string, call func(context.Context) error) {
	giveUp := o.router.opts.Now().Add(journalGiveUp)
	for pause := journalPause; ; pause = min(2*pause, journalPauseMax) {
		ctx, cancel := context.WithTimeout(context.Background(), journalTimeout)
		err := call(ctx)
		cancel()
		o.router.countJournal(step, err)
		if err == nil || o.router.opts.Now().After(giveUp) {
			return
		}
		time.Sleep(pause)
	}
}

// settleStart takes back a start whose answer was lost, so that the record does
// not claim that the request may have run.
func (o *onceCall) settleStart() {
	o.journalEnd("settle", func(ctx context.Context) error {
		j := o.router.opts.Journal
		res, err := j.Start(ctx, o.key, o.digest, o.writer, o.req.Deadline)
		if err != nil || res.Outcome != journal.OutcomeNew {
			return err
		}
		return j.Abandon(ctx, o.key, res.Record.Fence, false)
	})
}

func (r *Router) countJournal(step string, err error) {
	r.metrics.journal.WithLabelValues(step, resultLabel(err)).Inc()
}

// digestOf returns the digest that tells a resend from another request.
func digestOf(req *Request, body []byte) [32]byte {
	h := sha256.New()
	writeField(h, req.Service)
	writeField(h, req.Path)
	writeField(h, req.Header.Get("Content-Type"))
	_, _ = h.Write(body)
	return [32]byte(h.Sum(nil))
}

// writeField writes s with its length, so that fields cannot run together.
func writeField(h hash.Hash, s string) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(s)))
	_, _ = h.Write(n[:])
	_, _ = h.Write([]byte(s))
}

// keptBody copies an answer's body for the journal while it is small.
type keptBody struct {
	rc      io.ReadCloser
	most    int
	kept    []byte
	dropped bool
}

// Read implements io.Reader.
func (b *keptBody) Read(p []byte) (int, error) {
	n, err := b.rc.Read(p)
	if len(b.kept)+n > b.most {
		b.dropped = true
		b.kept = nil
	}
	if !b.dropped {
		b.kept = append(b.kept, p[:n]...)
	}
	return n, err
}

// Close implements io.Closer.
func (b *keptBody) Close() error { return b.rc.Close() }

// answer returns the record of ans, or nil when it was too large.
func (b *keptBody) answer(ans *Answer) *journal.Answer {
	if b.dropped {
		return nil
	}
	out := &journal.Answer{Status: ans.Status, Body: b.kept}
	for _, name := range keptHeaders {
		for _, v := range ans.Header.Values(name) {
			out.Header = append(out.Header, [2]string{name, v})
		}
	}
	return out
}
