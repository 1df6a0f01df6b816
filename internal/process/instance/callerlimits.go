package instance

import (
	"math"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mimosaspring/mimosaspring/internal/schedule/caller"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// Names of the listeners in the limits of the memory for callers.
const (
	callerListener    = "caller"
	locatorListener   = "locator"
	readinessListener = "readiness"
	operatorListener  = "operator"
)

// Limits of the memory for callers and of their connections.
const (
	// reservedDescriptors is kept of the descriptors for files.
	reservedDescriptors = 200
	// callerDescriptorDivisor leaves the other half of the descriptors for connections
	// to replicas and to the platform.
	callerDescriptorDivisor = 2
	// connectionBytes is the memory that a connection takes with its buffers and the
	// stacks of its goroutines.
	connectionBytes = 32 << 10
	// smallRequestBytes is the memory of the connection of an ordinary request.
	smallRequestBytes = connectionBytes + 64<<10
	// minCallerMemory holds a few of the largest requests and answers.
	minCallerMemory = 12 << 20
	// largeShare is the part of the memory for callers that connections with large
	// requests or answers may take.
	largeShare = 0.75
	// fanoutShare and repliesShare are the parts of the memory for callers that the
	// queries of shards and the answers of replicas may take. The rest is left for
	// connections.
	fanoutShare  = 0.45
	repliesShare = 0.15
	// expectedShare is the part of the memory for replicas' answers that those to running
	// queries may be expected to take. The rest is for answers that are larger than usual.
	expectedShare = 0.75
	// peerMemoryShare is the part of the memory of the process that may be held for what
	// peers send, and minPeerMemory the least.
	peerMemoryShare = 0.1
	minPeerMemory   = 8 << 20
	// youngTime is how long a connection counts as about to send a request. A caller
	// sends it as soon as it is connected.
	youngTime = 100 * time.Millisecond
	// answerStallTime is how long a caller must have read nothing of its answer before
	// its connection may be closed for the sake of others.
	answerStallTime = time.Second
	// closingTimeout is how long newcomers wait for evicted connections, whose goroutines
	// may have to wait for a processor.
	closingTimeout = 5 * time.Second
)

// listenerShares divides the connections among the listeners, so that none of them can
// take those of another.
var listenerShares = map[string]float64{callerListener: 0.625, locatorListener: 0.25, readinessListener: 0.0625, operatorListener: 0.0625}

// CallerLimits returns the limits of what an instance with the settings holds for callers.
func CallerLimits(settings settings.Settings) caller.MemoryLimits {
	limits := caller.MemoryLimits{
		SmallBytes:      smallRequestBytes,
		ConnectionBytes: connectionBytes,
		MaxConnections:  make(map[string]int),
		YoungTime:       youngTime,
		StallTime:       answerStallTime,
		ClosingTimeout:  closingTimeout,
	}
	if settings.Process.MemoryBytes > 0 {
		limits.TotalBytes = max(int64(settings.Callers.MemoryShare*float64(settings.Process.MemoryBytes)), minCallerMemory)
		limits.LargeBytes = int64(largeShare * float64(limits.TotalBytes))
		limits.Parts = map[caller.Part]caller.PartLimits{
			caller.PartFanout:  {MaxBytes: int64(fanoutShare * float64(limits.TotalBytes))},
			caller.PartReplies: {MaxBytes: int64(repliesShare * float64(limits.TotalBytes)), IsShared: true},

			caller.PartExpected: {MaxBytes: int64(expectedShare * repliesShare * float64(limits.TotalBytes))},
		}
	}
	maxConnections := settings.Callers.MaxConnections
	if maxConnections == 0 {
		maxConnections = (maxDescriptors(settings.Process) - reservedDescriptors) / callerDescriptorDivisor
	}
	for listener, share := range listenerShares {
		limits.MaxConnections[listener] = max(int(share*float64(maxConnections)), 1)
	}
	return limits
}

// peerMemory returns the memory that may be held for what peers send; 0 means no limit.
func peerMemory(process settings.Process) int64 {
	if process.MemoryBytes == 0 {
		return 0
	}
	return max(int64(peerMemoryShare*float64(process.MemoryBytes)), minPeerMemory)
}

// maxDescriptors returns the number of descriptors that the process may have open.
func maxDescriptors(process settings.Process) int {
	if process.MaxDescriptors > 0 {
		return process.MaxDescriptors
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
