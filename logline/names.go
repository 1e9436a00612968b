// Package logline names the lines that a gateway writes, and finds among the lines of several processes those that tell why one request
// ended as it did.
package logline

// TimeFormat is that of a line's time: milliseconds, since much happens within one second of a failure.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Messages of lines. Those about groups are named by entry/grouping.
const (
	Started          = "started"
	Leaving          = "leaving"
	Stopped          = "stopped"
	Reload           = "reload: the settings of this process hold until it starts again"
	RequestEnded     = "request ended"
	ConfigInForce    = "configuration in force"
	Lease            = "lease"
	LeaseRefused     = "lease not written: another entry has written it"
	Linked           = "linked to the leader"
	LinkEnded        = "link to the leader ended"
	Demand           = "demand"
	AskedOthers      = "asked other entries for a server"
	PlatformLost     = "platform lost"
	PlatformRegained = "platform regained"
	LeftOut          = "object left out"
	RequestsHeldBack = "requests held back: they crash servers"
	LinesDropped     = "log lines dropped"
	ServerLeaves     = "backend server is leaving"
	RequestRejected  = "backend server rejected the request"
)
