package journal

import (
	"cmp"
	"slices"
)

// Snapshot is the whole content of a journal, sorted by key.
type Snapshot struct {
	Records []Record `cbor:"1,keyasint,omitempty"`
}

// Snapshot returns a copy of the records. Answers are shared with the journal
// and must not be modified.
func (j *Journal) Snapshot() Snapshot {
	s := Snapshot{Records: make([]Record, 0, len(j.records))}
	for _, r := range j.records {
		s.Records = append(s.Records, *r)
	}
	slices.SortFunc(s.Records, func(a, b Record) int { return compareKeys(a.Key, b.Key) })
	return s
}

// Restore replaces the content of j with s.
func (j *Journal) Restore(s Snapshot) {
	*j = *New(j.opts)
	for i := range s.Records {
		r := s.Records[i]
		j.records[r.Key] = &r
		j.teamRecords[r.Key.Team]++
		j.answerBytes += r.Answer.size()
		j.scheduleExpiry(&r)
	}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.RequestID, b.RequestID))
}
