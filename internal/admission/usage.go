package admission

import "maps"

// Usage is the memory of accepted work in bytes, in all and by team.
type Usage struct {
	total  int64
	byTeam map[string]int64
}

// NewUsage returns an empty Usage.
func NewUsage() Usage { return Usage{byTeam: make(map[string]int64)} }

// Clone returns a copy that is charged apart from u.
func (u *Usage) Clone() Usage { return Usage{total: u.total, byTeam: maps.Clone(u.byTeam)} }

// Charge replaces *charged, which the team was charged for an item before, by bytes.
func (u *Usage) Charge(team string, charged *int64, bytes int64) {
	delta := bytes - *charged
	*charged = bytes
	u.total += delta
	if u.byTeam[team] += delta; u.byTeam[team] == 0 {
		delete(u.byTeam, team)
	}
}

// Total returns the sum of all charges.
func (u *Usage) Total() int64 { return u.total }

// Of returns the sum of the charges of a team.
func (u *Usage) Of(team string) int64 { return u.byTeam[team] }

// Fits reports whether the team may be charged bytes more. A team may hold at most as much as is
// left free, so that a single one gets half of the limit and none can use up what others need:
// the dynamic threshold by which packet switches share their memory between queues (Choudhury
// and Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", 1998). A limit
// of zero is none.
func (u *Usage) Fits(team string, bytes, limit int64) bool {
	return limit <= 0 || u.byTeam[team]+bytes <= limit-u.total-bytes
}

// FitsAlone reports whether bytes could be charged if there were no other charges.
func FitsAlone(bytes, limit int64) bool { return limit <= 0 || 2*bytes <= limit }
