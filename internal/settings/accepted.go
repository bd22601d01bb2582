package settings

const (
	// idleMemory is what a process takes without clients, with a large configuration, in bytes.
	idleMemory = 48 << 20
	// acceptedMemoryParts is the number of equal parts of the other memory of which accepted work
	// may take one. The rest is for bodies, connections, the encoding of snapshots and garbage
	// between collections.
	acceptedMemoryParts = 4
	// leastMemoryParts is the same of the whole memory of the smallest processes.
	leastMemoryParts = 16
	// acceptedDiskQuarters is the part of the disk that accepted work may take in memory. A
	// snapshot takes at most half of that, and there are two while one is written.
	acceptedDiskQuarters = 3
	// minAcceptedBytes is the least limit that may be set.
	minAcceptedBytes = 1 << 20
	// unlimitedAccepted is the limit where neither memory nor disk gives one.
	unlimitedAccepted = 1 << 30
)

// AcceptedLimit returns the limit of the memory of accepted work in bytes, for a control process
// whose disk has diskBytes for its data; zero: unknown.
func (s *Settings) AcceptedLimit(diskBytes int64) int64 {
	if s.Limits.AcceptedBytes > 0 {
		return s.Limits.AcceptedBytes
	}
	limit := int64(unlimitedAccepted)
	if s.Memory.LimitMB > 0 {
		memory := s.Memory.LimitMB << 20
		limit = min(limit, max((memory-idleMemory)/acceptedMemoryParts, memory/leastMemoryParts))
	}
	if diskBytes > 0 {
		limit = min(limit, diskBytes/4*acceptedDiskQuarters)
	}
	return limit
}
