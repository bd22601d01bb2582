// Package journal keeps the records that make a request which is not
// repeatable run at most once. A record is started by commit before the first
// byte of the request goes to a target; a resend with the same key finds it.
//
// The package is deterministic: it is part of the replicated state machine,
// takes every time as an argument and reads no clock.
package journal

import (
	"container/heap"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Key names one request of one team.
type Key struct {
	Team      string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
}

// State says what is known of a journaled request.
type State uint8

// The states of a record. Started is followed by one of the two others, or by
// the removal of the record when nothing ran. Unknown may still become Finished.
const (
	Started  State = iota // may be running
	Finished              // ran to its end
	Unknown               // may have run; nobody waits for its end any more
)

var stateNames = [...]string{"started", "finished", "unknown"}

// String returns the name of s as metrics show it.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Answer is what a target answered, as far as it is kept for resends.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header [][2]string `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// size returns the bytes that a counts against the kept bytes.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, h := range a.Header {
		n += len(h[0]) + len(h[1])
	}
	return n
}

// Record is what is known of one request.
type Record struct {
	Key    Key         `cbor:"1,keyasint"`
	Digest [32]byte    `cbor:"2,keyasint"` // of the request, to tell a resend from another request
	Fence  model.Fence `cbor:"3,keyasint"` // of the commit that started the record
	State  State       `cbor:"4,keyasint,omitempty"`
	// Started, Deadline and Finished are stamped by the leader.
	Started       model.Time `cbor:"5,keyasint"`
	Deadline      model.Time `cbor:"6,keyasint"`
	Finished      model.Time `cbor:"7,keyasint,omitempty"`
	Answer        *Answer    `cbor:"8,keyasint,omitempty"`
	AnswerDropped bool       `cbor:"9,keyasint,omitempty"` // finished, and the answer was too large to keep
	Writer        string     `cbor:"10,keyasint"`          // the writer: one try of one entry process
}

// Outcome is the result of a start.
type Outcome uint8

// The outcomes of a start. Only OutcomeNew lets the request run.
const (
	OutcomeNew      Outcome = iota // the record was started, or had been by the same writer
	OutcomeExisting                // another send of the same request was first
	OutcomeConflict                // the key was used for a request with another digest
	OutcomeFull                    // no room for a further record
)

// StartResult is the outcome of a start with the record that stands now. The
// record is empty with OutcomeFull.
type StartResult struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	Record  Record  `cbor:"2,keyasint"`
}

// Options bounds a journal.
type Options struct {
	Retention           time.Duration // how long a record outlives its end, or its deadline when the end is unknown
	MaxAnswerBytes      int           // largest answer that is kept, in bytes
	MaxRecords          int           // records at once
	MaxTeamRecords      int           // records at once of one team; zero: MaxRecords
	MaxTotalAnswerBytes int           // sum of all kept answers, in bytes; zero: no bound
}

// Journal is the set of records. It is not safe for concurrent use.
type Journal struct {
	opts        Options
	records     map[Key]*Record
	teamRecords map[string]int // records a team
	answerBytes int            // sum of the kept answers
	expiries    expiryHeap
}

// New returns an empty journal.
func New(opts Options) *Journal {
	if opts.MaxTeamRecords == 0 {
		opts.MaxTeamRecords = opts.MaxRecords
	}
	return &Journal{
		opts:        opts,
		records:     make(map[Key]*Record),
		teamRecords: make(map[string]int),
	}
}

// Start starts a record for k unless one stands. A repeated start by the same
// writer is idempotent. Only OutcomeNew lets the caller send the request to a target.
func (j *Journal) Start(k Key, digest [32]byte, fence model.Fence, writer string, now, deadline model.Time) StartResult {
	if r, ok := j.records[k]; ok {
		return existingResult(r, digest, writer)
	}
	if len(j.records) >= j.opts.MaxRecords || j.teamRecords[k.Team] >= j.opts.MaxTeamRecords {
		return StartResult{Outcome: OutcomeFull}
	}
	r := &Record{Key: k, Digest: digest, Fence: fence, Started: now, Deadline: deadline, Writer: writer}
	j.records[k] = r
	j.teamRecords[k.Team]++
	j.scheduleExpiry(r)
	return StartResult{Outcome: OutcomeNew, Record: *r}
}

func existingResult(r *Record, digest [32]byte, entry string) StartResult {
	switch {
	case r.Digest != digest:
		return StartResult{Outcome: OutcomeConflict, Record: *r}
	case r.State == Started && r.Writer == entry:
		return StartResult{Outcome: OutcomeNew, Record: *r}
	}
	return StartResult{Outcome: OutcomeExisting, Record: *r}
}

// Finish records that the request ran to its end and keeps its answer. It
// reports false when the record is not the one that was started with fence, or
// is finished already.
func (j *Journal) Finish(k Key, fence model.Fence, a *Answer, now model.Time) bool {
	r, ok := j.records[k]
	if !ok || r.Fence != fence || r.State == Finished {
		return false
	}
	r.State = Finished
	r.Finished = now
	r.AnswerDropped = !j.hasRoomFor(a)
	if !r.AnswerDropped {
		r.Answer = a
		j.answerBytes += a.size()
	}
	j.scheduleExpiry(r)
	return true
}

// hasRoomFor reports whether there is room for a.
func (j *Journal) hasRoomFor(a *Answer) bool {
	n := a.size()
	if a == nil || n > j.opts.MaxAnswerBytes {
		return false
	}
	return j.opts.MaxTotalAnswerBytes == 0 || j.answerBytes+n <= j.opts.MaxTotalAnswerBytes
}

// Abandon ends a record without an answer. With ran false, which needs proof
// that no byte reached a target, the record is removed so that a resend may
// run. With ran true its outcome becomes unknown. It reports false when the
// record is not the one that was started with fence, or is finished.
func (j *Journal) Abandon(k Key, fence model.Fence, mayHaveRun bool, now model.Time) bool {
	r, ok := j.records[k]
	if !ok || r.Fence != fence || r.State == Finished {
		return false
	}
	if !mayHaveRun {
		j.remove(r)
		return true
	}
	if r.State == Started {
		j.setUnknown(r, now)
	}
	return true
}

// Lookup returns the record of k.
func (j *Journal) Lookup(k Key) (Record, bool) {
	r, ok := j.records[k]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Len returns the number of records.
func (j *Journal) Len() int { return len(j.records) }

// AnswerBytes returns the sum of the kept answers in bytes.
func (j *Journal) AnswerBytes() int { return j.answerBytes }

// Expire applies the passing of time up to now: a started record past its
// deadline becomes unknown, and a record that has been kept long enough is
// removed. The result does not depend on how often Expire is called.
func (j *Journal) Expire(now model.Time) {
	for len(j.expiries) > 0 && j.expiries[0].at <= now {
		d := heap.Pop(&j.expiries).(expiryItem)
		r, ok := j.records[d.key]
		if !ok || r.Fence != d.fence || j.expiryTime(r) != d.at {
			continue
		}
		if r.State == Started {
			j.setUnknown(r, r.Deadline)
			continue
		}
		j.remove(r)
	}
}

// ExpireDue reports whether Expire would look at a record.
func (j *Journal) ExpireDue(now model.Time) bool {
	return len(j.expiries) > 0 && j.expiries[0].at <= now
}

func (j *Journal) setUnknown(r *Record, at model.Time) {
	r.State = Unknown
	r.Finished = at
	j.scheduleExpiry(r)
}

func (j *Journal) remove(r *Record) {
	if r.Answer != nil {
		j.answerBytes -= r.Answer.size()
	}
	delete(j.records, r.Key)
	j.teamRecords[r.Key.Team]--
	if j.teamRecords[r.Key.Team] == 0 {
		delete(j.teamRecords, r.Key.Team)
	}
}

// expiryTime returns when Expire has to look at r. A record outlives both its end
// and its deadline by Keep, so that a late send by its first writer is past
// its deadline before a resend may start anew.
func (j *Journal) expiryTime(r *Record) model.Time {
	if r.State == Started {
		return r.Deadline
	}
	return max(r.Finished, r.Deadline).Add(j.opts.Retention)
}

func (j *Journal) scheduleExpiry(r *Record) {
	heap.Push(&j.expiries, expiryItem{at: j.expiryTime(r), key: r.Key, fence: r.Fence})
}
