package journal

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/filbertmast/filbertmast/internal/model"
)

var testOptions = Options{Retention: time.Minute, MaxAnswerBytes: 16, MaxRecords: 8, MaxTeamRecords: 6, MaxTotalAnswerBytes: 64}

func key(id string) Key { return Key{Team: "rota", RequestID: id} }

func fence(n uint64) model.Fence { return model.Fence{Term: 1, Index: n} }

func TestStart(t *testing.T) {
	one, two := [32]byte{1}, [32]byte{2}
	for _, row := range []struct {
		name   string
		before func(j *Journal)
		digest [32]byte
		writer string
		want   Outcome
	}{
		{"an unknown key is started", func(*Journal) {}, one, "a", OutcomeNew},
		{"a repeated start by the same writer is idempotent", func(j *Journal) {
			j.Start(key("r"), one, fence(1), "a", 0, 100)
		}, one, "a", OutcomeNew},
		{"another writer gets the existing record", func(j *Journal) {
			j.Start(key("r"), one, fence(1), "a", 0, 100)
		}, one, "b", OutcomeExisting},
		{"the same writer gets the existing record once it is finished", func(j *Journal) {
			j.Start(key("r"), one, fence(1), "a", 0, 100)
			j.Finish(key("r"), fence(1), &Answer{Status: 200}, 50)
		}, one, "a", OutcomeExisting},
		{"another digest is a conflict", func(j *Journal) {
			j.Start(key("r"), one, fence(1), "a", 0, 100)
		}, two, "a", OutcomeConflict},
		{"a request that provably did not run may start again", func(j *Journal) {
			j.Start(key("r"), one, fence(1), "a", 0, 100)
			j.Abandon(key("r"), fence(1), false, 50)
		}, one, "b", OutcomeNew},
		{"a request that may have run does not start again", func(j *Journal) {
			j.Start(key("r"), one, fence(1), "a", 0, 100)
			j.Abandon(key("r"), fence(1), true, 50)
		}, one, "b", OutcomeExisting},
		{"a team at its record limit starts nothing", func(j *Journal) {
			for i := range testOptions.MaxTeamRecords {
				j.Start(key(fmt.Sprint(i)), one, fence(uint64(i)), "a", 0, 100)
			}
		}, one, "a", OutcomeFull},
	} {
		t.Run(row.name, func(t *testing.T) {
			j := New(testOptions)
			row.before(j)
			assert.Equal(t, j.Start(key("r"), row.digest, fence(99), row.writer, 60, 200).Outcome, row.want)
		})
	}
}

func TestRecordIsKeptForTheRetentionAfterItsDeadline(t *testing.T) {
	j := New(testOptions)
	j.Start(key("r"), [32]byte{}, fence(1), "a", 0, 100)
	j.Expire(99)
	rec, _ := j.Lookup(key("r"))
	assert.Equal(t, rec.State, Started)
	j.Expire(100)
	rec, _ = j.Lookup(key("r"))
	assert.Equal(t, rec.State, Unknown)
	assert.Assert(t, j.Finish(key("r"), fence(1), &Answer{Status: 200}, 150), "a late finish replaces the unknown outcome")
	end := model.Time(150).Add(testOptions.Retention)
	j.Expire(end - 1)
	assert.Equal(t, j.Len(), 1)
	j.Expire(end)
	assert.Equal(t, j.Len(), 0)
	assert.Equal(t, j.AnswerBytes(), 0)
}

func TestAnswersAreKeptWithinTheByteLimits(t *testing.T) {
	j := New(testOptions)
	for i, row := range []struct {
		bytes   int
		dropped bool
	}{{16, false}, {17, true}, {16, false}, {16, false}, {16, false}, {1, true}} {
		k := key(fmt.Sprint(i))
		j.Start(k, [32]byte{}, fence(uint64(i)), "a", 0, 100)
		assert.Assert(t, j.Finish(k, fence(uint64(i)), &Answer{Body: make([]byte, row.bytes)}, 1))
		rec, _ := j.Lookup(k)
		assert.Equal(t, rec.AnswerDropped, row.dropped, "answer %d", i)
	}
	assert.Equal(t, j.AnswerBytes(), 64)
}

// referenceJournal is a journal model without a heap or counters.
type referenceJournal struct {
	records map[Key]*Record
}

// TestJournalMatchesReferenceModel compares the journal, with restores from
// snapshots in between, with a model that scans every record on each expiry.
func TestJournalMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New(Options{Retention: time.Second, MaxAnswerBytes: 8, MaxRecords: 5})
		n := referenceJournal{records: make(map[Key]*Record)}
		now := model.Time(0)
		index := uint64(0)
		pick := func(t *rapid.T) Key { return key(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")) }
		fenceOf := func(t *rapid.T, k Key) model.Fence {
			if r := n.records[k]; r != nil && rapid.IntRange(0, 4).Draw(t, "stale") > 0 {
				return r.Fence
			}
			return fence(index + 1000)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				k := pick(t)
				digest := [32]byte{byte(rapid.IntRange(0, 1).Draw(t, "digest"))}
				writer := rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "writer")
				index++
				got := j.Start(k, digest, fence(index), writer, now, now.Add(500*time.Millisecond))
				r := n.records[k]
				if r == nil {
					assert.Equal(t, got.Outcome, OutcomeNew)
					n.records[k] = &Record{Key: k, Digest: digest, Fence: fence(index), Started: now, Deadline: now + 500, Writer: writer}
					return
				}
				assert.DeepEqual(t, got.Record, *r)
				assert.Equal(t, got.Outcome == OutcomeConflict, r.Digest != digest)
				assert.Equal(t, got.Outcome == OutcomeNew, r.Digest == digest && r.State == Started && r.Writer == writer)
			},
			"finish": func(t *rapid.T) {
				k := pick(t)
				f := fenceOf(t, k)
				a := &Answer{Status: 200, Body: make([]byte, rapid.IntRange(1, 12).Draw(t, "bytes"))}
				r := n.records[k]
				ok := r != nil && r.Fence == f && r.State != Finished
				assert.Equal(t, j.Finish(k, f, a, now), ok)
				if ok {
					r.State, r.Finished, r.AnswerDropped = Finished, now, len(a.Body) > 8
					if !r.AnswerDropped {
						r.Answer = a
					}
				}
			},
			"abandon": func(t *rapid.T) {
				k := pick(t)
				f := fenceOf(t, k)
				ran := rapid.Bool().Draw(t, "ran")
				r := n.records[k]
				ok := r != nil && r.Fence == f && r.State != Finished
				assert.Equal(t, j.Abandon(k, f, ran, now), ok)
				if ok && !ran {
					delete(n.records, k)
				}
				if ok && ran && r.State == Started {
					r.State, r.Finished = Unknown, now
				}
			},
			"expire": func(t *rapid.T) {
				now += model.Time(rapid.Int64Range(0, 900).Draw(t, "ms"))
				j.Expire(now)
				for k, r := range n.records {
					if r.State == Started && now >= r.Deadline {
						r.State, r.Finished = Unknown, r.Deadline
					}
					if r.State != Started && now >= max(r.Finished, r.Deadline)+1000 {
						delete(n.records, k)
					}
				}
			},
			"restore": func(t *rapid.T) {
				b, err := cbor.Marshal(j.Snapshot())
				assert.NilError(t, err)
				var s Snapshot
				assert.NilError(t, cbor.Unmarshal(b, &s))
				j.Restore(s)
				again, err := cbor.Marshal(j.Snapshot())
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(b, again))
			},
			"": func(t *rapid.T) {
				assert.Equal(t, j.Len(), len(n.records))
				sum := 0
				for k, r := range n.records {
					got, ok := j.Lookup(k)
					assert.Assert(t, ok)
					assert.Equal(t, got.State, r.State)
					sum += r.Answer.size()
				}
				assert.Equal(t, j.AnswerBytes(), sum)
			},
		})
	})
}

// op is the input of one operation on a key, for porcupine.
type op struct {
	kind  string // start, finish, abandon
	fence uint64
	ran   bool
}

// result is the output of one operation.
type result struct {
	outcome Outcome
	state   State
	ok      bool
}

// register is the model of one key: free, or with a record that has a fence and
// a state.
type register struct {
	held  bool
	fence uint64
	state State
}

func step(state, input, output any) (bool, any) {
	s, in, out := state.(register), input.(op), output.(result)
	if in.kind == "start" {
		if !s.held {
			return out.outcome == OutcomeNew, register{held: true, fence: in.fence, state: Started}
		}
		return out.outcome == OutcomeExisting && out.state == s.state, s
	}
	ok := s.held && s.fence == in.fence && s.state != Finished
	if out.ok != ok {
		return false, s
	}
	switch {
	case !ok:
		return true, s
	case in.kind == "finish":
		s.state = Finished
	case in.ran:
		s.state = Unknown
	default:
		s = register{}
	}
	return true, s
}

// TestOperationsOnOneKeyAreLinearizable widens the call intervals of operations
// so that they overlap, and checks the history against the register model.
func TestOperationsOnOneKeyAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New(Options{Retention: time.Hour, MaxAnswerBytes: 8, MaxRecords: 5})
		var ops []porcupine.Operation
		fences := []uint64{}
		for i := range 12 {
			at := int64(i) * 10
			in := op{kind: rapid.SampledFrom([]string{"start", "start", "finish", "abandon"}).Draw(t, "kind")}
			var out result
			switch in.kind {
			case "start":
				in.fence = uint64(i + 1)
				res := j.Start(key("r"), [32]byte{}, fence(in.fence), fmt.Sprint(i), 0, 1000)
				out = result{outcome: res.Outcome, state: res.Record.State}
				fences = append(fences, in.fence)
			case "finish":
				in.fence = rapid.SampledFrom(append(fences, 99)).Draw(t, "fence")
				out.ok = j.Finish(key("r"), fence(in.fence), nil, 0)
			case "abandon":
				in.fence = rapid.SampledFrom(append(fences, 99)).Draw(t, "fence")
				in.ran = rapid.Bool().Draw(t, "ran")
				out.ok = j.Abandon(key("r"), fence(in.fence), in.ran, 0)
			}
			early := rapid.Int64Range(0, 25).Draw(t, "early")
			late := rapid.Int64Range(1, 25).Draw(t, "late")
			ops = append(ops, porcupine.Operation{ClientId: i, Input: in, Call: at - early, Output: out, Return: at + late})
		}
		m := porcupine.Model{Init: func() any { return register{} }, Step: step}
		assert.Assert(t, porcupine.CheckOperations(m, ops))
	})
}

// BenchmarkStartFinish measures the state machine's cost of one journaled
// request while 100,000 records are kept.
func BenchmarkStartFinish(b *testing.B) {
	j := New(Options{Retention: time.Second, MaxAnswerBytes: 16 << 10, MaxRecords: 1 << 20})
	answer := &Answer{Status: 200, Body: make([]byte, 256)}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now := model.Time(n / 100) // 100,000 requests a second
		k := key(fmt.Sprint(n))
		j.Start(k, [32]byte{}, fence(uint64(n)), "a", now, now+100)
		j.Finish(k, fence(uint64(n)), answer, now)
		j.Expire(now)
	}
}
