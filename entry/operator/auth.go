package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"

	"github.com/emicklei/go-restful/v3"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// HashKey is the form in which tokens and keys stand in settings: SHA-256 in hex. Settings lie in version
// control, and a hash of a random key gives nothing away.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// tokenHash returns the hash of the bearer token, or "" if there is none.
func tokenHash(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return ""
	}
	return HashKey(token)
}

// accepted compares with every hash in constant time: the time taken tells neither how much of a hash
// matched nor which one.
func accepted(hash string, hashes []string) bool {
	found := 0
	for _, known := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(hash), []byte(known))
	}
	return hash != "" && found == 1
}

// authorize lets a request pass if its token is an operator's by the settings in force here, or the
// bootstrap token while the platform holds no tree.
func (s *Server) authorize(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
	hash := tokenHash(req.Request)
	if snapshot := s.deps.Snapshots.Snapshot(); snapshot != nil && snapshot.Version > 0 {
		if accepted(hash, snapshot.OperatorKeyHashes) {
			chain.ProcessFilter(req, resp)
			return
		}
		refuse(resp, unauthorized())
		return
	}
	if !s.isBootstrap(hash) {
		refuse(resp, unauthorized())
		return
	}
	// An entry that started during an outage has no snapshot either, although there is a tree.
	_, err := s.deps.Store.Get(req.Request.Context(), platform.KindSettings, platform.SettingsName)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		chain.ProcessFilter(req, resp)
	case err == nil:
		refuse(resp, unauthorized())
	default:
		refuse(resp, problemOf(err))
	}
}

func (s *Server) isBootstrap(hash string) bool {
	return accepted(hash, []string{s.deps.BootstrapKeyHash})
}

// mayChange is asked with the very tree that would be replaced, so that a token which was just taken out
// can't change settings through an entry that has not heard of it yet.
func (s *Server) mayChange(tree *settings.Tree, version platform.Version, hash string) bool {
	if version == 0 {
		return s.isBootstrap(hash)
	}
	return accepted(hash, tree.Nodes[settings.Root].Values["operator_key_hashes"].List)
}

func unauthorized() *contract.Problem {
	return contract.NewRejection(http.StatusUnauthorized, contract.CodeUnauthorized, "this token is not an operator's",
		"send Authorization: Bearer with an operator's token; while there are no settings yet, the bootstrap token")
}
