// Package logline defines the messages of the log lines that a gateway writes, and searches the logs of several processes for the lines
// that explain how a request ended.
package logline

// TimeFormat is the format of a line's time. It has milliseconds because a failure causes many lines within one second.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// The messages of log lines. Package entry/grouping defines those about groups.
const (
	Started      = "started"
	Leaving      = "leaving"
	Stopped      = "stopped"
	Reload       = "reload: the settings of this process hold until it starts again"
	RequestEnded = "request ended"
	// RequestUnanswered is written for connections that end without an answer to their request, 20 a second at most.
	RequestUnanswered = "connection ended with its request unanswered"
	// BodiesRefused is written when requests are refused for the memory of their bodies, once a second at most for each reason.
	BodiesRefused = "requests refused: their bodies found no room in memory"
	// ConnectionsClosed is written when connections of callers are closed to make room, once a second at most.
	ConnectionsClosed = "connections of callers closed to make room for others"
	RequestUnfinished = "request in progress as the process ends"
	ConfigInForce     = "configuration in force"
	Lease             = "lease"
	LeaseRefused      = "lease not written: another entry has written it"
	Linked            = "linked to the leader"
	LinkEnded         = "link to the leader ended"
	Isolation         = "backend servers of a service lost or reached again"
	Demand            = "demand"
	WorkStalled       = "work stands still: this entry gives up the lease, and takes none"
	WorkGoesOn        = "work goes on"
	AskedOthers       = "asked other entries for a server"
	PlatformLost      = "platform lost"
	PlatformRegained  = "platform regained"
	Removed           = "registration of a lost entry removed"
	NotRemoved        = "registration of a lost entry not removed"
	Lapsed            = "registrations lapsed; servers stay listed"
	LeftOut           = "object left out"
	RequestsHeldBack  = "requests held back: they crash servers"
	LinesDropped      = "log lines dropped"
	ServerLeaves      = "backend server is leaving"
	ServerAnnounces   = "backend server says that it is leaving"
	ServerCrashed     = "backend server crashed while it ran a request"
	RequestRejected   = "backend server rejected the request"
	// ServerUnreachable is written for failed connections, 20 a second at most.
	ServerUnreachable = "backend server could not be connected to"
	ServerLimit       = "backend server names another limit of requests"
	LimitInForce      = "limit of a backend server in force"
	PauseBegins       = "backend server asks this entry for a pause"
	PauseEnds         = "pause of a backend server is over"
	PauseInvalid      = "backend server asks for a pause that can't be read"
	LimitInvalid      = "backend server names a limit that can't be read"
	ServerCold        = "backend server is cold"
	ServerWarm        = "backend server is no longer cold"
	ColdInvalid       = "backend server names a time to be cold that can't be read"
	EvacuationBegins  = "failure domain is evacuated"
	CallersReturn     = "callers return"
	CallersInvalid    = "stored deadlines of callers can't be read"
	EvacuationEnds    = "evacuation of a failure domain is over"
)
