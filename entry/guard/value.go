package guard

import (
	"encoding/json"

	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/quarantine"
)

// value is the value of an object of kind "quarantine".
type value struct {
	Nonce string          `json:"nonce"`
	Held  json.RawMessage `json:"held"`
}

func encode(r *quarantine.Register, nonce func() string) (json.RawMessage, string, error) {
	held, err := r.Encode()
	if err != nil {
		return nil, "", err
	}
	v := value{Nonce: nonce(), Held: held}
	encoded, err := json.Marshal(v)
	return encoded, v.Nonce, err
}

// decode reads an object; one that does not exist holds nothing.
func decode(config quarantine.Config, object platform.Object) (*quarantine.Register, error) {
	if object.Deleted || len(object.Value) == 0 {
		return quarantine.New(config), nil
	}
	var v value
	if err := json.Unmarshal(object.Value, &v); err != nil {
		return nil, err
	}
	return quarantine.Decode(config, v.Held)
}
