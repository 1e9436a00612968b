package member

import (
	"context"
	"time"
)

// Rumour is a versioned value that is gossiped to every entry. A higher Version replaces a lower one of
// the same Topic and Name on every entry.
type Rumour struct {
	Topic   string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	// Body is pushed with pings up to maxInlineBytes. A larger body is announced, and fetched once by
	// each entry.
	Body []byte `cbor:"4,keyasint,omitempty"`
	// TTL, if set, is how long the rumour remains useful; it counts down in transit. Rumours with a TTL
	// are not repaired by anti-entropy when lost, since the next one replaces them.
	TTL time.Duration `cbor:"5,keyasint,omitempty"`
	// Announced is the size of a body that was left out.
	Announced int `cbor:"6,keyasint,omitempty"`
}

// item is one piece of gossip. Exactly one field is set.
type item struct {
	Status  *Status  `cbor:"1,keyasint,omitempty"`
	Profile *profile `cbor:"2,keyasint,omitempty"`
	Rumour  *Rumour  `cbor:"3,keyasint,omitempty"`
}

// key returns the key of the item in the queue.
func (it item) key() string {
	switch {
	case it.Status != nil:
		return statusKey(it.Status.Name)
	case it.Rumour != nil:
		return keyOf(*it.Rumour).String()
	default:
		return ""
	}
}

// sameVersion reports whether two items of one key carry the same status or rumour version.
func (it item) sameVersion(other item) bool {
	if it.Status != nil && other.Status != nil {
		return *it.Status == *other.Status
	}
	return it.Rumour != nil && other.Rumour != nil && it.Rumour.Version == other.Rumour.Version
}

// Ping checks whether Target is alive, and carries gossip.
type Ping struct {
	// Time is the sender's hybrid logical time.
	Time   int64  `cbor:"1,keyasint"`
	Self   Status `cbor:"2,keyasint"`
	Target string `cbor:"3,keyasint"`
	Gossip []item `cbor:"4,keyasint,omitempty"`
}

// Ack is the reply to a Ping.
type Ack struct {
	Time   int64  `cbor:"1,keyasint"`
	Self   Status `cbor:"2,keyasint"`
	Gossip []item `cbor:"3,keyasint,omitempty"`
	// Known lists the indexes of those items of the ping that the receiver already knew.
	Known []byte `cbor:"4,keyasint,omitempty"`
}

// Relay asks another entry to ping Target on behalf of the sender.
type Relay struct {
	Target string `cbor:"1,keyasint"`
}

// RelayReply is the reply to a Relay.
type RelayReply struct {
	Reached bool `cbor:"1,keyasint"`
	// Status is the helper's current status of the target. Its counter may refute a suspicion.
	Status Status `cbor:"2,keyasint"`
}

// Digest summarizes the sender's state, so that comparing equal states costs only a few hundred bytes.
type Digest struct {
	Time    int64    `cbor:"1,keyasint"`
	Self    Status   `cbor:"2,keyasint"`
	Buckets []uint64 `cbor:"3,keyasint"`
}

// DigestReply is the reply to a Digest. It lists what the replying entry holds in the buckets that
// differ.
type DigestReply struct {
	Time     int64           `cbor:"1,keyasint"`
	Self     Status          `cbor:"2,keyasint"`
	Buckets  []int           `cbor:"3,keyasint,omitempty"`
	Statuses []Status        `cbor:"4,keyasint,omitempty"`
	Versions []rumourVersion `cbor:"5,keyasint,omitempty"`
}

// rumourVersion identifies a version of a rumour, without its body.
type rumourVersion struct {
	Topic   string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
}

// Exchange sends what the peer that answered a Digest lacks, and requests what the sender lacks.
type Exchange struct {
	Items        []item          `cbor:"1,keyasint,omitempty"`
	WantProfiles []string        `cbor:"2,keyasint,omitempty"`
	WantRumours  []rumourVersion `cbor:"3,keyasint,omitempty"`
}

// ExchangeReply is the reply to an Exchange. More is set if some of the requested items did not fit.
type ExchangeReply struct {
	Items []item `cbor:"1,keyasint,omitempty"`
	More  bool   `cbor:"2,keyasint,omitempty"`
}

// Pinger sends messages to the entry at address.
type Pinger interface {
	Ping(ctx context.Context, address string, m Ping) (Ack, error)
	Relay(ctx context.Context, address string, m Relay) (RelayReply, error)
	Digest(ctx context.Context, address string, m Digest) (DigestReply, error)
	Exchange(ctx context.Context, address string, m Exchange) (ExchangeReply, error)
	// Disconnect ends calls in progress to a dead entry.
	Disconnect(address string)
}
