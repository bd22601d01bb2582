// Package journal records non-idempotent requests so that each runs at most
// once. A record is committed before the first byte of the request is sent to a
// target, and a retry with the same key finds it.
//
// The package is part of the replicated state machine and deterministic: every
// time is an argument, and no clock is read.
package journal

import (
	"container/heap"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
)

// Key identifies a request of a team.
type Key struct {
	Team      string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
}

// State is the state of a journaled request.
type State uint8

// The states of a record. A Started record becomes Finished or Unknown, or is
// removed if the request did not run. An Unknown record may still become
// Finished.
const (
	Started  State = iota // may be running
	Finished              // ran to completion
	Unknown               // may have run; its outcome was not recorded
)

var stateNames = [...]string{"started", "finished", "unknown"}

// String returns the name of s as used in metrics.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Answer is the target's answer, kept for retries of the request.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header [][2]string `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// size returns how many bytes a counts against the byte limits.
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

// Record is the journal record of one request.
type Record struct {
	Key    Key         `cbor:"1,keyasint"`
	Digest [32]byte    `cbor:"2,keyasint"` // of the request; tells a retry from a different request with the same key
	Fence  model.Fence `cbor:"3,keyasint"` // of the commit that started the record
	State  State       `cbor:"4,keyasint,omitempty"`
	// Started, Deadline and Finished are set from the leader's clock.
	Started       model.Time `cbor:"5,keyasint"`
	Deadline      model.Time `cbor:"6,keyasint"`
	Finished      model.Time `cbor:"7,keyasint,omitempty"`
	Answer        *Answer    `cbor:"8,keyasint,omitempty"`
	AnswerDropped bool       `cbor:"9,keyasint,omitempty"` // finished, but there was no answer to keep or no room for it
	Writer        string     `cbor:"10,keyasint"`          // identifies one attempt of one entry process
}

// Outcome is the outcome of Journal.Start.
type Outcome uint8

// The outcomes of Journal.Start. The request may run only after OutcomeNew.
const (
	OutcomeNew      Outcome = iota // the record was created, now or earlier by the same writer
	OutcomeExisting                // an earlier attempt of the same request has a record
	OutcomeConflict                // the key belongs to a request with another digest
	OutcomeFull                    // the record limit of the journal or the team is reached
)

// StartResult is the outcome of Journal.Start with the current record of the
// key. The record is empty for OutcomeFull.
type StartResult struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	Record  Record  `cbor:"2,keyasint"`
}

// Options sets the limits of a Journal.
type Options struct {
	Retention           time.Duration // how long a record is kept after the later of its end and its deadline
	MaxAnswerBytes      int           // largest answer that is kept, in bytes
	MaxRecords          int           // largest number of records
	MaxTeamRecords      int           // largest number of records of one team; zero: MaxRecords
	MaxTotalAnswerBytes int           // largest total size of all kept answers, in bytes; zero: no limit
}

// Journal holds the records of all teams. It is not safe for concurrent use.
type Journal struct {
	opts        Options
	records     map[Key]*Record
	teamRecords map[string]int // number of records by team
	answerBytes int            // total size of the kept answers
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

// Start creates a record for k unless there is one. A repeated start by the same
// writer is idempotent. The caller may send the request to a target only after
// OutcomeNew.
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

// Finish marks a request as finished and keeps its answer if there is room. It
// returns false if the record was not started with fence or is already finished.
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

// hasRoomFor reports whether a exists and fits the byte limits.
func (j *Journal) hasRoomFor(a *Answer) bool {
	n := a.size()
	if a == nil || n > j.opts.MaxAnswerBytes {
		return false
	}
	return j.opts.MaxTotalAnswerBytes == 0 || j.answerBytes+n <= j.opts.MaxTotalAnswerBytes
}

// Abandon ends a record without an answer. If mayHaveRun is true, the outcome
// becomes Unknown. If it is false, which requires proof that no byte reached a
// target, the record is removed so that a retry may run. Abandon returns false
// if the record was not started with fence or is already finished.
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

// AnswerBytes returns the total size of the kept answers in bytes.
func (j *Journal) AnswerBytes() int { return j.answerBytes }

// Expire sets started records whose deadline has passed to Unknown and removes
// records whose retention has ended. The result does not depend on how often
// Expire is called.
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

// ExpireDue reports whether Expire has items to process at now.
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

// expiryTime returns when Expire has to process r. A record is kept for the
// retention after both its end and its deadline, so that a delayed send by its
// first writer is past the deadline before a retry may create a new record.
func (j *Journal) expiryTime(r *Record) model.Time {
	if r.State == Started {
		return r.Deadline
	}
	return max(r.Finished, r.Deadline).Add(j.opts.Retention)
}

func (j *Journal) scheduleExpiry(r *Record) {
	heap.Push(&j.expiries, expiryItem{at: j.expiryTime(r), key: r.Key, fence: r.Fence})
}
