package backend

import "time"

// OrderKind is the operation that an order requests of a model server.
type OrderKind string

// The kinds of orders.
const (
	// OrderJoin makes the VM a member of a group and replaces any earlier membership.
	OrderJoin OrderKind = "join"
	// OrderOpen makes a head that is ready accept requests. The server does not check the other members.
	OrderOpen OrderKind = "open"
	// OrderClose makes an open head accept no new requests. It is ready again once its requests have finished.
	OrderClose OrderKind = "close"
	// OrderLeave ends a membership immediately.
	OrderLeave OrderKind = "leave"
	// OrderStage copies a model's weights to the VM's host while other work continues.
	OrderStage OrderKind = "stage"
)

// Order is one order to a model server.
type Order struct {
	Kind  OrderKind
	Group GroupKey
	Model string
	// Members are the members of the group to join; the first is the head.
	Members []ID
	// Cancel makes OrderClose abort the requests in progress.
	Cancel bool
	// ExpectedOrders is the value of Report.Orders on which this order is based. A server whose count differs refuses the
	// order, so an order that arrives late, after another one, has no effect. It is the only fencing with servers that
	// check no fencing number.
	ExpectedOrders uint64
	// EffectDelay is the time until the effect of the order is visible.
	EffectDelay time.Duration
}

// Report is the state that a model server returns when queried.
type Report struct {
	// Orders counts the orders that took effect since the server started.
	Orders           uint64
	Busy             bool
	Running, Waiting int
	StartedAtMillis  int64
	// Slowdown above 1 means that the VM is slower than normal.
	Slowdown float64
	Staged   []string
	Model    string
	Group    Membership
}
