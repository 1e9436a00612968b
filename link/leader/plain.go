package leader

import "github.com/skylarkpond/skylarkpond/backend"

// PlainEnds counts the requests of a follower to a plain server that have ended since its last report.
type PlainEnds struct {
	Server backend.ID `cbor:"1,keyasint"`
	// Answered counts the complete answers, and Rejected the requests that the server stated not to have run.
	Answered int `cbor:"2,keyasint,omitempty"`
	Rejected int `cbor:"3,keyasint,omitempty"`
}

// PlainServices lists the services of which a plain server rejects more than the others, so that the leader grants turns at all of their servers.
type PlainServices struct {
	Services []string `cbor:"1,keyasint,omitempty"`
}
