package controller

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/skylarkpond/skylarkpond/link/platform"
)

// putConfirmed writes, and settles a lost answer by sending the same conditional write once more and
// reading back who won.
func putConfirmed(ctx context.Context, store platform.Store, kind platform.Kind, name string, version platform.Version, value json.RawMessage, nonce string) (platform.Version, error) {
	written, err := store.Put(ctx, kind, name, version, value)
	if !eris.Is(err, platform.ErrUnconfirmed) {
		return written, err
	}
	if written, again := store.Put(ctx, kind, name, version, value); again == nil {
		return written, nil
	}
	object, readErr := store.Get(ctx, kind, name)
	if readErr != nil {
		return 0, err
	}
	found := struct {
		Nonce string `json:"nonce"`
	}{}
	if json.Unmarshal(object.Value, &found) == nil && found.Nonce == nonce {
		return object.Version, nil
	}
	return 0, err
}
