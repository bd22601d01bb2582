package state

import (
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/ledger"
	"github.com/filbertmast/filbertmast/internal/model"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// snapshotHeader is the first record of a snapshot. The job records follow it;
// Jobs is their number.
type snapshotHeader struct {
	Version            int                 `cbor:"1,keyasint"`
	Index              uint64              `cbor:"2,keyasint"`
	Term               uint64              `cbor:"3,keyasint"`
	Now                model.Time          `cbor:"4,keyasint"`
	Config             config              `cbor:"5,keyasint"`
	Workers            []*Worker           `cbor:"6,keyasint"`
	FinishedJobs       []model.JobID       `cbor:"7,keyasint"`
	Accounts           []accountRecord     `cbor:"8,keyasint"`
	Journal            journal.Snapshot    `cbor:"9,keyasint"`
	Jobs               int                 `cbor:"10,keyasint"`
	Members            []Member            `cbor:"11,keyasint"`
	Ceilings           []Ceiling           `cbor:"12,keyasint"`
	WithdrawnExecutors []WithdrawnExecutor `cbor:"13,keyasint"`

	LastJob           model.JobID        `cbor:"14,keyasint,omitempty"`
	Workflows         []*Workflow        `cbor:"15,keyasint,omitempty"` // by ID
	FinishedWorkflows []model.WorkflowID `cbor:"16,keyasint,omitempty"`
	Evacuations       []Evacuation       `cbor:"17,keyasint,omitempty"` // by domain
	PastUse           *pastUseRecord     `cbor:"18,keyasint,omitempty"`
	WorkerSpeed       bool               `cbor:"19,keyasint,omitempty"`
}

// accountRecord is one team's account in a snapshot.
type accountRecord struct {
	Team    string         `cbor:"1,keyasint"`
	Account ledger.Account `cbor:"2,keyasint"`
}

// WriteSnapshot writes the whole state to w. Equal states are written as equal
// bytes. The error is of kind Internal.
func (m *Machine) WriteSnapshot(w io.Writer) error {
	enc := encMode.NewEncoder(w)
	ids := m.JobIDs()
	header := snapshotHeader{
		Version:            snapshotVersion,
		Index:              m.index,
		Term:               m.term,
		Now:                m.now,
		Config:             m.config,
		Workers:            m.workers.list,
		FinishedJobs:       m.finishedJobs,
		Accounts:           m.accountRecords(),
		Journal:            m.journal.Snapshot(),
		Jobs:               len(ids),
		Members:            m.members,
		Ceilings:           m.ceilingRecords(),
		WithdrawnExecutors: m.withdrawnExecutors,
		LastJob:            m.lastJob,
		Workflows:          m.workflowRecords(),
		FinishedWorkflows:  m.finishedWorkflows,
		WorkerSpeed:        m.speeds.enabled,
		Evacuations:        m.evacuations,
		PastUse:            m.pastUse.record(),
	}
	if err := enc.Encode(&header); err != nil {
		return errkind.Wrap(errkind.Internal, err, "write snapshot header")
	}
	for _, id := range ids {
		if err := enc.Encode(m.jobs[id]); err != nil {
			return errkind.Wrap(errkind.Internal, err, "write snapshot job")
		}
	}
	return nil
}

func (m *Machine) accountRecords() []accountRecord {
	out := make([]accountRecord, 0, len(m.accounts))
	for _, team := range sortedKeys(m.accounts) {
		out = append(out, accountRecord{Team: team, Account: *m.accounts[team]})
	}
	return out
}

// ReadSnapshot returns a machine with the state read from r. The error is of kind
// Internal.
func ReadSnapshot(o Options, r io.Reader) (*Machine, error) {
	dec := decMode.NewDecoder(r)
	var header snapshotHeader
	if err := dec.Decode(&header); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "read snapshot header")
	}
	if header.Version != snapshotVersion {
		return nil, errkind.New(errkind.Internal, "snapshot format %d is not supported, want %d", header.Version, snapshotVersion)
	}
	m := New(o)
	m.index, m.term, m.now = header.Index, header.Term, header.Now
	m.config = header.Config
	m.config.rebuildIndexes()
	m.finishedJobs = header.FinishedJobs
	m.members = header.Members
	m.withdrawnExecutors = header.WithdrawnExecutors
	m.lastJob = header.LastJob
	m.speeds.enabled = header.WorkerSpeed
	m.evacuations = header.Evacuations
	m.restoreWorkflows(header.Workflows, header.FinishedWorkflows)
	for _, c := range header.Ceilings {
		m.ceilings[c.Team] = c.Permits
	}
	m.pastUse.restore(header.PastUse)
	m.journal.Restore(header.Journal)
	for i := range header.Accounts {
		m.accounts[header.Accounts[i].Team] = &header.Accounts[i].Account
	}
	for n, w := range header.Workers {
		m.workers.list = append(m.workers.list, w)
		if w != nil {
			m.workers.index[w.Spec.ID] = int32(n)
			m.speeds.add(w.Speed)
		}
	}
	for range header.Jobs {
		if err := m.readJob(dec); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Machine) readJob(dec *cbor.Decoder) error {
	j := &Job{}
	if err := dec.Decode(j); err != nil {
		return errkind.Wrap(errkind.Internal, err, "read snapshot job")
	}
	j.recount()
	j.upgradeRestarts()
	m.updatePending(j, false)
	m.jobs[j.ID] = j
	m.chargeJob(j)
	if j.IdempotencyKey != "" {
		m.submissions[submissionKey{j.Spec.Team, j.IdempotencyKey}] = j.ID
	}
	team := m.team(j.Team)
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.Phase.HoldsResources() {
			team.held++
			team.reserved = team.reserved.Add(t.Size)
		}
	}
	return nil
}

// Digest returns the SHA-256 digest of the whole state in hex. It is equal on
// every replica that has applied the same log.
func (m *Machine) Digest() (string, error) {
	h := sha256.New()
	if err := m.WriteSnapshot(h); err != nil {
		return "", err
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}
