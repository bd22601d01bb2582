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

// journaledHeaders are the headers of an answer that the journal stores.
var journaledHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Etag", "Location"}

// serveAtMostOnce serves a request that is not repeatable. The request
// continues when its caller disconnects, so that a resend gets its outcome.
func (r *Router) serveAtMostOnce(ctx context.Context, req *Request, done func()) (*Answer, error) {
	body, err := newReplayBody(req.Body, req.Size, r.opts.JournalBytes)
	if err != nil {
		done()
		return nil, beforeLookup(err)
	}
	if !body.fullyBuffered() {
		done()
		return nil, errkind.New(errkind.BodyTooLarge, "the body of a request that is not repeatable may have at most %d bytes", r.opts.JournalBytes)
	}
	o := &atMostOnceCall{
		call: call{router: r, req: req, body: body},
		key:  journal.Key{Team: req.Team, RequestID: req.ID},
	}
	o.digest = requestDigest(req, body.buffered)
	o.writer = r.opts.Entry + "/" + uuid.NewString()
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	result := make(chan callResult, 1)
	go func() {
		ans, err := o.run(runCtx, func() { cancel(); done() })
		result <- callResult{ans, err}
	}()
	select {
	case a := <-result:
		return a.ans, a.err
	case <-ctx.Done():
		go drainAnswer(result)
		return nil, abandonedError(ctx)
	}
}

// beforeLookup replaces Overloaded, which promises that no send of the request has run: before
// the lookup of its record that is not known. Draining speaks of this send alone.
func beforeLookup(err error) error {
	if !errkind.Is(err, errkind.Overloaded) {
		return err
	}
	return errkind.WithRetryAfter(errkind.Wrap(errkind.Draining, err, "this entry has no room for the body; try another one"), errkind.RetryAfter(err))
}

// callResult is the result of a request that runs in a separate goroutine.
type callResult struct {
	ans *Answer
	err error
}

// drainAnswer reads an answer to its end, so that it is journaled.
func drainAnswer(result <-chan callResult) {
	a := <-result
	if a.err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, a.ans.Body)
	_ = a.ans.Body.Close()
}

// atMostOnceCall is a request that must run at most once.
type atMostOnceCall struct {
	call
	key    journal.Key
	digest [32]byte
	writer string
	fence  model.Fence
	permit *limit.Permit // nil until acquired
}

// run journals the start, runs the request and journals its end. It calls done
// when all of this has finished.
func (o *atMostOnceCall) run(ctx context.Context, done func()) (*Answer, error) {
	// Without a caller's key there is no earlier send to look up, so the permit
	// is acquired first, which keeps load off the journal under overload. With a
	// key it is acquired after the journaled start, so that a refusal holds for
	// all sends.
	if !o.req.Keyed {
		if err := o.acquirePermit(ctx); err != nil {
			done()
			return nil, err
		}
	}
	ans, err, started := o.start(ctx)
	if !started {
		o.releasePermit()
		done()
		return ans, err
	}
	if err := o.admit(ctx); err != nil {
		o.releasePermit()
		o.abandon(done)
		return nil, err
	}
	ans, err = o.call.run(ctx)
	if err != nil {
		o.router.releaseAfterEnd(&o.call, o.releasePermit)
		o.abandon(done)
		return nil, err
	}
	return o.journalAnswer(ans, done)
}

// admit checks, after the start was journaled, that the request may be sent.
func (o *atMostOnceCall) admit(ctx context.Context) error {
	if !o.router.opts.Now().Before(o.req.Deadline) {
		return errkind.New(errkind.DeadlineBeforeStart, "the deadline passed before the request was sent to an executor")
	}
	if o.permit != nil {
		return nil
	}
	return o.acquirePermit(ctx)
}

func (o *atMostOnceCall) acquirePermit(ctx context.Context) error {
	permit, err := o.router.opts.Permits.Acquire(ctx, o.req.Team, o.req.Deadline)
	o.permit = permit
	return err
}

func (o *atMostOnceCall) releasePermit() {
	if o.permit != nil {
		o.permit.Release()
	}
}

// start journals the start. The request may be sent only if started is true.
func (o *atMostOnceCall) start(ctx context.Context) (ans *Answer, err error, started bool) {
	r := o.router
	res, err := r.opts.Journal.Start(ctx, o.key, o.digest, o.writer, o.req.Deadline)
	r.countJournal("start", err)
	if err != nil {
		go o.withdrawStart()
		return nil, startError(ctx, err), false
	}
	if res.Outcome == journal.OutcomeNew {
		o.fence = res.Record.Fence
		return nil, nil, true
	}
	ans, err = answerFromRecord(&res)
	return ans, err, false
}

// startError returns the error for the caller when it is unknown whether the
// start was journaled. Nothing was sent to an executor.
func startError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return notStartedError(ctx)
	}
	if errkind.RowOf(errkind.Of(err)).NotRun {
		return err
	}
	return errkind.Wrap(errkind.NoLeader, err, "the start of the request could not be journaled")
}

// answerFromRecord returns the result of a resend from the journal record of
// the earlier send.
func answerFromRecord(res *journal.StartResult) (*Answer, error) {
	switch res.Outcome {
	case journal.OutcomeConflict:
		return nil, errkind.New(errkind.IdempotencyConflict, "the idempotency key was already used for another request")
	case journal.OutcomeFull:
		return nil, errkind.New(errkind.Overloaded, "the journal has no room for a further request that is not repeatable")
	}
	rec := &res.Record
	switch {
	case rec.State == journal.Started:
		return nil, errkind.New(errkind.StillRunning, "an earlier send of the request is still running")
	case rec.State == journal.Finished && rec.Answer != nil:
		return journaledAnswer(rec.Answer), nil
	case rec.State == journal.Finished:
		return nil, errkind.New(errkind.AnswerTooLarge, "the request ran, but its answer was too large for the journal")
	}
	return nil, errkind.New(errkind.OutcomeUnknown, "an earlier send of the request may have run")
}

func journaledAnswer(a *journal.Answer) *Answer {
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

// journalAnswer returns ans and journals it once its body was read completely.
func (o *atMostOnceCall) journalAnswer(ans *Answer, done func()) (*Answer, error) {
	recording := &recordingBody{rc: ans.Body, maxBytes: o.router.opts.KeepBytes}
	ans.Body = recording
	return o.router.bufferAnswer(ans, func(complete bool) {
		if !complete {
			o.router.releaseAfterEnd(&o.call, o.releasePermit)
			o.abandon(done)
			return
		}
		o.releasePermit()
		record := recording.journalAnswer(ans)
		o.endRecord("finish", done, true, func(ctx context.Context) error {
			return o.router.opts.Journal.Finish(ctx, o.key, o.fence, record)
		})
	})
}

// abandon journals an end without an answer. If nothing ran it waits for that,
// so that a resend after the refusal finds the key unused.
func (o *atMostOnceCall) abandon(done func()) {
	ran := o.mayRun
	o.endRecord("abandon", done, !ran, func(ctx context.Context) error {
		return o.router.opts.Journal.Abandon(ctx, o.key, o.fence, ran)
	})
}

// endRecord journals the end of the request by call, and then calls done. If
// wait is set, it returns once the end is committed, or after maxEndWait, so
// that a resend after the answer finds the end of the first send.
func (o *atMostOnceCall) endRecord(step string, done func(), wait bool, call func(context.Context) error) {
	ended := make(chan struct{})
	go func() {
		defer done()
		defer close(ended)
		o.retryJournal(step, call)
	}()
	if !wait {
		return
	}
	select {
	case <-ended:
	case <-time.After(maxEndWait):
	}
}

// Times for calls that end a journal record.
const (
	maxEndWait        = 500 * time.Millisecond
	journalTimeout    = time.Second // per call
	minJournalBackoff = 50 * time.Millisecond
	maxJournalBackoff = 2 * time.Second
	journalRetryTime  = time.Minute // in total; the journal marks the record unknown by itself
)

// retryJournal repeats an idempotent call with backoff until it succeeds or
// journalRetryTime has passed.
func (o *atMostOnceCall) retryJournal(step string, call func(context.Context) error) {
	retryUntil := o.router.opts.Now().Add(journalRetryTime)
	for backoff := minJournalBackoff; ; backoff = min(2*backoff, maxJournalBackoff) {
		ctx, cancel := context.WithTimeout(context.Background(), journalTimeout)
		err := call(ctx)
		cancel()
		o.router.countJournal(step, err)
		if err == nil || o.router.opts.Now().After(retryUntil) {
			return
		}
		time.Sleep(backoff)
	}
}

// withdrawStart withdraws a start whose answer was lost, so that no record
// claims that the request may have run.
func (o *atMostOnceCall) withdrawStart() {
	o.retryJournal("settle", func(ctx context.Context) error {
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

// requestDigest returns the digest that distinguishes a resend from another
// request with the same key.
func requestDigest(req *Request, body []byte) [32]byte {
	h := sha256.New()
	writeField(h, req.Service)
	writeField(h, req.Path)
	writeField(h, req.Header.Get("Content-Type"))
	_, _ = h.Write(body)
	return [32]byte(h.Sum(nil))
}

// writeField writes s with a length prefix, so that field boundaries are
// unambiguous.
func writeField(h hash.Hash, s string) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(s)))
	_, _ = h.Write(n[:])
	_, _ = h.Write([]byte(s))
}

// recordingBody copies the body of an answer for the journal, unless it is
// larger than maxBytes.
type recordingBody struct {
	rc       io.ReadCloser
	maxBytes int
	recorded []byte
	tooLarge bool
}

// Read implements io.Reader.
func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.rc.Read(p)
	if len(b.recorded)+n > b.maxBytes {
		b.tooLarge = true
		b.recorded = nil
	}
	if !b.tooLarge {
		b.recorded = append(b.recorded, p[:n]...)
	}
	return n, err
}

// Close implements io.Closer.
func (b *recordingBody) Close() error { return b.rc.Close() }

// journalAnswer returns the answer to journal, or nil if it was too large.
func (b *recordingBody) journalAnswer(ans *Answer) *journal.Answer {
	if b.tooLarge {
		return nil
	}
	out := &journal.Answer{Status: ans.Status, Body: b.recorded}
	for _, name := range journaledHeaders {
		for _, v := range ans.Header.Values(name) {
			out.Header = append(out.Header, [2]string{name, v})
		}
	}
	return out
}
