package grouping

import (
	"strings"

	"github.com/google/uuid"

	"github.com/skylarkpond/skylarkpond/backend"
)

// nameSeparator occurs in no id and in no address.
const nameSeparator = "~"

// newGroupName returns a unique name for a group. The name contains the head's id and address, so that an entry that knows
// only a member's report can ask the head for its state, even if the head's registration has lapsed.
func newGroupName(head *backend.Server) string {
	return strings.Join([]string{string(head.ID), head.Address, uuid.NewString()[:8]}, nameSeparator)
}

// headFromName returns the head that is encoded in a group's name. ok is false if newGroupName did not create the name.
func headFromName(name string) (head *backend.Server, ok bool) {
	parts := strings.Split(name, nameSeparator)
	if len(parts) != 3 {
		return nil, false
	}
	return &backend.Server{ID: backend.ID(parts[0]), Address: parts[1]}, true
}
