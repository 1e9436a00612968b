// Package reach decides when failed connections of entries are evidence that a backend server can't be reached. An entry is one proxy process that
// callers connect to.
//
// Load pattern: the servers of a failure domain crash together, or heads of groups die one by one, while hundreds of entries send to them. A head that
// is gone has the fewest requests in progress, so that it is granted one turn after the other; each fails at once, and its request tries the next
// head that is gone.
//
// A single failure says little: a packet is lost, or the entry itself is cut off. Therefore two failures within a short time count, of two entries,
// or of one if no other sends requests. They only withhold turns until the server has been probed; what becomes of its group is decided by the probe.
//
// Times are durations since an arbitrary fixed moment.
package reach

import "time"

const (
	// requiredFailures is the number of failures that suspend a server.
	requiredFailures = 2
	// window is how long a failure counts. Entries that send to the same head fail within a fraction of a second of each other.
	window = 2 * time.Second
)

// Failures holds the failed connections to servers. The zero value knows none. It is not safe for concurrent use.
type Failures struct {
	byServer map[string][]failure
}

type failure struct {
	entry string
	at    time.Duration
}

// Note records that an entry failed to connect to a server, and reports whether the server is to be suspended. entries is the number of entries that
// send requests.
func (f *Failures) Note(now time.Duration, server, entry string, entries int) (suspend bool) {
	if f.byServer == nil {
		f.byServer = make(map[string][]failure)
	}
	kept := f.byServer[server][:0]
	for _, known := range f.byServer[server] {
		if now-known.at < window && (known.entry != entry || entries <= 1) {
			kept = append(kept, known)
		}
	}
	kept = append(kept, failure{entry: entry, at: now})
	if len(kept) < requiredFailures {
		f.byServer[server] = kept
		return false
	}
	delete(f.byServer, server)
	return true
}

// Sweep forgets failures that count no longer.
func (f *Failures) Sweep(now time.Duration) {
	for server, failures := range f.byServer {
		if now-failures[len(failures)-1].at >= window {
			delete(f.byServer, server)
		}
	}
}
