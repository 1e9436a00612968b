package guard

import (
	"encoding/json"

	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/quarantine"
)

// storedValue is the value of a platform object of kind "quarantine".
type storedValue struct {
	Nonce string          `json:"nonce"`
	Held  json.RawMessage `json:"held"`
}

func encode(r *quarantine.Register, newNonce func() string) (json.RawMessage, string, error) {
	held, err := r.Encode()
	if err != nil {
		return nil, "", err
	}
	v := storedValue{Nonce: newNonce(), Held: held}
	encoded, err := json.Marshal(v)
	return encoded, v.Nonce, err
}

// decode returns the register stored in an object. A missing or deleted object holds an empty register.
func decode(config quarantine.Config, object platform.Object) (*quarantine.Register, error) {
	if object.Deleted || len(object.Value) == 0 {
		return quarantine.New(config), nil
	}
	var v storedValue
	if err := json.Unmarshal(object.Value, &v); err != nil {
		return nil, err
	}
	return quarantine.Decode(config, v.Held)
}
