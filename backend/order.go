package backend

import "time"

// OrderKind says what a model server is to do.
type OrderKind string

// The orders.
const (
	// OrderJoin makes the VM a member of a group. It replaces any earlier membership.
	OrderJoin OrderKind = "join"
	// OrderOpen makes a head that is ready take requests. The server does not look at the other members.
	OrderOpen OrderKind = "open"
	// OrderClose makes a head that is open take nothing new, and ready again once it has nothing left.
	OrderClose OrderKind = "close"
	// OrderLeave ends a membership at once.
	OrderLeave OrderKind = "leave"
	// OrderStage puts a model's weights on the VM's host, beside all other work.
	OrderStage OrderKind = "stage"
)

// Order is one order to a model server.
type Order struct {
	Kind  OrderKind
	Group GroupKey
	Model string
	// Members are those of a join; the first is the head.
	Members []ID
	// Cancel makes a close cut off the requests in progress.
	Cancel bool
	// ExpectedOrders is the server's count of orders for which this one was meant. An order that is carried out late, after
	// another one, does not find it and is refused: the only fence where servers check no fencing number.
	ExpectedOrders uint64
	// EffectDelay is how long it takes until the effect shows.
	EffectDelay time.Duration
}

// Report is what a model server says of itself when asked.
type Report struct {
	// Orders counts the orders that began something in this life.
	Orders           uint64
	Busy             bool
	Running, Waiting int
	StartedAtMillis  int64
	// Slowdown above 1 means that the VM is slow.
	Slowdown float64
	Staged   []string
	Model    string
	Group    Membership
}
