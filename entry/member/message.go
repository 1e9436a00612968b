package member

import (
	"context"
	"time"
)

// Rumour is a fact that is carried on to every entry. A higher Version of a Topic and Name replaces a
// lower one everywhere.
type Rumour struct {
	Topic   string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	// Body may be large: over inlineBytes it is not pushed, but announced and fetched once by each entry.
	Body []byte `cbor:"4,keyasint,omitempty"`
	// TTL, if set, is how long the rumour is still of use; it counts down on the way. Such rumours are
	// not healed when lost, since the next one replaces them.
	TTL time.Duration `cbor:"5,keyasint,omitempty"`
	// Announced is the size of a body that was left out.
	Announced int `cbor:"6,keyasint,omitempty"`
}

// item is one piece of gossip: exactly one field is set.
type item struct {
	Status  *Status  `cbor:"1,keyasint,omitempty"`
	Profile *profile `cbor:"2,keyasint,omitempty"`
	Rumour  *Rumour  `cbor:"3,keyasint,omitempty"`
}

// key is that of the item's piece in the queue.
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

// sameVersion reports whether two items under one key say the same.
func (it item) sameVersion(other item) bool {
	if it.Status != nil && other.Status != nil {
		return *it.Status == *other.Status
	}
	return it.Rumour != nil && other.Rumour != nil && it.Rumour.Version == other.Rumour.Version
}

// Ping asks whether Target lives, and carries gossip.
type Ping struct {
	// Time is the sender's hybrid logical time.
	Time   int64  `cbor:"1,keyasint"`
	Self   Status `cbor:"2,keyasint"`
	Target string `cbor:"3,keyasint"`
	Gossip []item `cbor:"4,keyasint,omitempty"`
}

// Ack answers a Ping.
type Ack struct {
	Time   int64  `cbor:"1,keyasint"`
	Self   Status `cbor:"2,keyasint"`
	Gossip []item `cbor:"3,keyasint,omitempty"`
	// Known lists, by index, the items of the ping that were no news.
	Known []byte `cbor:"4,keyasint,omitempty"`
}

// Relay asks another entry to ping Target in the sender's place.
type Relay struct {
	Target string `cbor:"1,keyasint"`
}

// RelayReply answers a Relay.
type RelayReply struct {
	Reached bool `cbor:"1,keyasint"`
	// Status is what the helper now holds of the target; its counter may refute a suspicion.
	Status Status `cbor:"2,keyasint"`
}

// Digest sums up what the sender knows, so that equal knowledge costs a few hundred bytes to compare.
type Digest struct {
	Time    int64    `cbor:"1,keyasint"`
	Self    Status   `cbor:"2,keyasint"`
	Buckets []uint64 `cbor:"3,keyasint"`
}

// DigestReply answers a Digest: what the answerer holds in the buckets that differ.
type DigestReply struct {
	Time     int64     `cbor:"1,keyasint"`
	Self     Status    `cbor:"2,keyasint"`
	Buckets  []int     `cbor:"3,keyasint,omitempty"`
	Statuses []Status  `cbor:"4,keyasint,omitempty"`
	Versions []rumourVersion `cbor:"5,keyasint,omitempty"`
}

// rumourVersion names a rumour without its body.
type rumourVersion struct {
	Topic   string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
}

// Exchange hands over what the answerer of a Digest lacks and asks for what the sender lacks.
type Exchange struct {
	Items        []item    `cbor:"1,keyasint,omitempty"`
	WantProfiles []string  `cbor:"2,keyasint,omitempty"`
	WantRumours  []rumourVersion `cbor:"3,keyasint,omitempty"`
}

// ExchangeReply answers an Exchange. More says that not all that was wanted fitted.
type ExchangeReply struct {
	Items []item `cbor:"1,keyasint,omitempty"`
	More  bool   `cbor:"2,keyasint,omitempty"`
}

// Pinger carries the messages to the entry at address.
type Pinger interface {
	Ping(ctx context.Context, address string, m Ping) (Ack, error)
	Relay(ctx context.Context, address string, m Relay) (RelayReply, error)
	Digest(ctx context.Context, address string, m Digest) (DigestReply, error)
	Exchange(ctx context.Context, address string, m Exchange) (ExchangeReply, error)
	// Disconnect ends calls in progress to a dead entry.
	Disconnect(address string)
}
