package guard

import (
	"encoding/json"

	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/quarantine"
	"github.com/skylarkpond/skylarkpond/policy/suspicion"
)

// storedValue is the value of a platform object of kind "quarantine".
type storedValue struct {
	Nonce string          `json:"nonce"`
	Held  json.RawMessage `json:"held"`
	// Parts is the evidence against the parts of requests.
	Parts suspicion.Evidence `json:"parts"`
}

func encode(s *state, newNonce func() string) (json.RawMessage, string, error) {
	held, err := s.requests.Encode()
	if err != nil {
		return nil, "", err
	}
	v := storedValue{Nonce: newNonce(), Held: held, Parts: s.parts}
	encoded, err := json.Marshal(v)
	return encoded, v.Nonce, err
}

// decode returns the state stored in an object. A missing or deleted object holds an empty one.
func decode(config quarantine.Config, object platform.Object) (*state, error) {
	if object.Deleted || len(object.Value) == 0 {
		return newState(config), nil
	}
	var v storedValue
	if err := json.Unmarshal(object.Value, &v); err != nil {
		return nil, err
	}
	requests, err := quarantine.Decode(config, v.Held)
	if err != nil {
		return nil, err
	}
	return &state{requests: requests, parts: v.Parts}, nil
}
