package connlimit

import (
	"golang.org/x/sys/unix"

	"github.com/filbertmast/filbertmast/internal/errkind"
)

const (
	// maxOpenFiles is the limit that counts where the process has a higher one or none.
	maxOpenFiles = 1 << 20
	// connBytes is what a connection with an incomplete request costs: its goroutine, its
	// buffers, the free bytes of its head as they are parsed, and those of a body.
	connBytes = 40 << 10
	// memoryParts is the number of equal parts of the memory of which the connections of all
	// listeners may use one.
	memoryParts = 5
	// headMemoryParts is the same for the heads of their requests.
	headMemoryParts = 16
	// unlimitedHeads is the limit of heads in bytes where the memory has none.
	unlimitedHeads = 64 << 20
	// defaultMax is the limit where neither files nor memory give a lower one.
	defaultMax = 4096
	// minMax lets a listener work on the smallest machines.
	minMax = 16
)

// OpenFiles returns how many files the process may open. The error is Internal.
func OpenFiles() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errkind.Wrap(errkind.Internal, err, "read the limit of open files")
	}
	return int(min(limit.Cur, maxOpenFiles)), nil
}

// Eighths is the part of the files that the connections of a listener may use. Commands to
// workers may use half of the files (platform.commandLimits); processes that send them
// serve few callers.
type Eighths int

// Parts of the listeners.
const (
	ForCallers Eighths = 3
	ForWorkers Eighths = 2
	ForAll     Eighths = 4 // a listener for callers, workers and operators
	// InAll is for all listeners together. Commands to workers may use half, and an eighth is
	// left for the log, other processes and executors.
	InAll Eighths = 3
)

// Share returns how many connections a listener, or all together, may have open, from the files that the process
// may open and the memory that it may use in bytes (zero: unknown).
func Share(part Eighths, openFiles int, memory int64) int {
	const all = 8
	n := min(openFiles/all*int(part), defaultMax)
	if memory > 0 {
		n = min(n, int(memory/memoryParts/connBytes))
	}
	return max(n, minMax)
}

// HeadLimit returns how many bytes the heads of requests may take, from the memory that the
// process may use in bytes (zero: unknown) and the largest head. One such head is always served.
func HeadLimit(memory int64, maxHeader int) int64 {
	limit := int64(unlimitedHeads)
	if memory > 0 {
		limit = memory / headMemoryParts
	}
	// net/http reads somewhat more than the largest head.
	return max(limit, (int64(maxHeader)+2*readBuffer)*headByteCost)
}
