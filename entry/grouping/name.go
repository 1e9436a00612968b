package grouping

import (
	"strings"

	"github.com/google/uuid"

	"github.com/skylarkpond/skylarkpond/backend"
)

// nameSeparator stands in no id and in no address.
const nameSeparator = "~"

// newName makes the name of a group. It holds the head's id and address, so that an entry which knows nothing but a member's
// report can ask the head what it does, also when the head's registration has lapsed. It is never made twice.
func newName(head *backend.Server) string {
	return strings.Join([]string{string(head.ID), head.Address, uuid.NewString()[:8]}, nameSeparator)
}

// headOf reads the head out of a group's name; ok is false for a name of another maker.
func headOf(name string) (head *backend.Server, ok bool) {
	parts := strings.Split(name, nameSeparator)
	if len(parts) != 3 {
		return nil, false
	}
	return &backend.Server{ID: backend.ID(parts[0]), Address: parts[1]}, true
}
