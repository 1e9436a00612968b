package gateway

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/logline"
)

// attachment is what the lease holds that has to outlast all entries. Without it, requests that crash servers would run again after all entries have
// died, and each new process would send a request to every server with a limit.
type attachment struct {
	Holds  json.RawMessage `json:"holds,omitempty"`
	Limits json.RawMessage `json:"limits,omitempty"`
	// Callers is what the leader has learned of callers that return.
	Callers json.RawMessage `json:"callers,omitempty"`
}

// leaseAttachment returns the attachment of this entry's next write of the lease; nil if there is nothing to hold.
func (s *shared) leaseAttachment() json.RawMessage {
	held := attachment{Holds: s.components.suspects.Encode(), Limits: s.components.limits.Encode(), Callers: s.storedCallers()}
	if held.Holds == nil && held.Limits == nil && held.Callers == nil {
		return nil
	}
	body, err := json.Marshal(held)
	if err != nil {
		return nil // can't happen: both parts are valid JSON
	}
	return body
}

// attachmentRead restores what an attachment holds.
func (s *shared) attachmentRead(body json.RawMessage) {
	if err := s.restore(body); err != nil {
		s.log.WithError(err).Warn(logline.LeftOut)
	}
}

func (s *shared) restore(body json.RawMessage) error {
	var held attachment
	if body[0] == '[' { // entries of an earlier version store the requests that are held back alone
		held.Holds = body
	} else if err := json.Unmarshal(body, &held); err != nil {
		return eris.Wrap(err, "attachment of the lease")
	}
	s.restoreCallers(held.Callers)
	if held.Limits != nil {
		if err := s.components.limits.Restore(held.Limits); err != nil {
			return err
		}
	}
	if held.Holds != nil {
		return s.components.suspects.Restore(held.Holds)
	}
	return nil
}
