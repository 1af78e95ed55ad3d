// Package intake bounds what the clients of a process can hold: connections, header sections, bodies and decoded requests.
//
// A Budget belongs to a process and divides its memory and descriptors into shares. Each listener of the process is a Port of the
// budget. A connection within its allowance (allowanceHeaderBytes, allowanceHeaderLines, allowanceBodyBytes) costs a fixed amount,
// and the number of connections is bounded. Whatever goes beyond the allowance is taken from a pool that all connections share,
// so that clients that exhaust a pool affect no request within the allowance.
//
// A connection that waits for a request, a header section or a body is pending. Pending connections are counted separately from
// those whose request is being served, have to end within a time, and are evicted, the oldest first, when there are too many.
// A connection is never evicted while its request is served.
package intake

import (
	"time"

	"golang.org/x/sys/unix"
)

// Allowances of a connection. Ordinary requests have up to 20 header lines with 2 KB and a body of up to 5,000 bytes.
const (
	allowanceHeaderBytes = 4 << 10
	allowanceHeaderLines = 64
	allowanceBodyBytes   = 8 << 10
	// allowanceValues is the number of values in a body that may be decoded without a reservation.
	allowanceValues = 1024
)

// Costs in bytes of memory, rounded up from the measurements in docs/design/intake.md.
const (
	// pendingCost is the cost of a pending connection: 15 KB without a request, 36 KB with all of its allowance.
	pendingCost = 40 << 10
	// servedCost is the cost of a connection whose request is served. Its body and most of its header section are released.
	servedCost = 28 << 10
	// lineCost is the cost of a header line: 85 bytes with a name of its own, and as much again while the map grows.
	lineCost = 160
	// headerByteCost is the cost of a byte of a header section: the buffer of a line grows by copying, and net/http keeps parts of
	// the request line in several forms.
	headerByteCost = 4
	// bodyByteCost is the cost of a byte of a body: its buffer, and the one that it was copied from or the strings decoded from it.
	bodyByteCost = 2
	// valueCost is the cost of a decoded value: the largest element of a list, and the copy while the list grows.
	valueCost = 512
)

// Shares of the memory of a process in sixteenths. The rest is for links, logs, configuration, jobs and the program, and, beyond
// the limit of the Go runtime, for what the runtime does not count.
const (
	pendingSixteenths = 3
	servedSixteenths  = 2
	headerSixteenths  = 1
	bodySixteenths    = 2
	goSixteenths      = 13
)

const (
	// descriptorShare is the part of the descriptors that callers get; the others are for links, calls and files.
	descriptorShare = 2
	// sidePortShare is the part of the descriptors that each other port gets, and maxSidePortConns the most that it needs: its
	// clients are the balancer, operators, and other processes that open a link.
	sidePortShare    = 16
	maxSidePortConns = 64
	// linkPortShare and maxLinkPortConns are the same for the port of links, whose connections count until the link is open. All
	// agents dial at once when an entry starts.
	linkPortShare    = 8
	maxLinkPortConns = 256
	minConns         = 8
)

// Resources are the limits of a process.
type Resources struct {
	// MemoryBytes is the largest resident memory; 0 means half of the memory of the host.
	MemoryBytes int64
	// Descriptors is the largest number of open file descriptors; 0 means the limit that the operating system sets.
	Descriptors int
}

// Shares is the division of the resources of a process.
type Shares struct {
	// MaxPending and MaxOpen bound the connections of callers that are pending, and all of them.
	MaxPending, MaxOpen int
	// MaxLinkConns bounds the connections at the port of links that are not open links yet, MaxSideConns those of each other port.
	MaxLinkConns, MaxSideConns int
	// HeaderBytes and BodyBytes are the sizes of the pools.
	HeaderBytes, BodyBytes int64
	// GoMemoryBytes is the limit for the Go runtime (debug.SetMemoryLimit).
	GoMemoryBytes int64
}

// NewShares divides the resources of a process.
func NewShares(r Resources) Shares {
	if r.MemoryBytes <= 0 {
		r.MemoryBytes = systemMemory() / 2
	}
	descriptors := systemDescriptors()
	if r.Descriptors > 0 {
		descriptors = min(descriptors, r.Descriptors)
	}
	part := r.MemoryBytes / 16
	callers := max(descriptors/descriptorShare, minConns)
	pending := max(min(int(pendingSixteenths*part/pendingCost), callers), minConns)
	return Shares{
		MaxPending:   pending,
		MaxOpen:      max(min(pending+int(servedSixteenths*part/servedCost), callers), minConns),
		MaxLinkConns: max(min(descriptors/linkPortShare, maxLinkPortConns), minConns),
		MaxSideConns: max(min(descriptors/sidePortShare, maxSidePortConns), minConns),
		HeaderBytes:  headerSixteenths * part, BodyBytes: bodySixteenths * part, GoMemoryBytes: goSixteenths * part,
	}
}

// systemMemory returns the memory of the host, or a small one if it cannot be read.
func systemMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 1 << 30
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// systemDescriptors returns the limit of the operating system, or a small one if it cannot be read.
func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 1024
	}
	return int(min(limit.Cur, 1<<20))
}

// Limits are the limits of one request. A field of 0 means its default.
type Limits struct {
	// HeaderBytes is the largest size of a header section, with its request line; BodyBytes that of a body.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is the longest time for a header section to arrive. A body may take this time and as long as its bytes take at
	// minBodyRate. IdleTimeout is how long a connection stays open between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Default limits of a request.
const (
	DefaultHeaderBytes   = 64 << 10
	DefaultBodyBytes     = 1 << 20
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
)

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}
