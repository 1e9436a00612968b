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

// HashKey returns the hex-encoded SHA-256 hash of a key, the form in which the settings store tokens and keys.
// Settings are kept in version control, and the hash of a random key does not reveal the key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// tokenHash returns the hash of the request's bearer token, or "" if it has none.
func tokenHash(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return ""
	}
	return HashKey(token)
}

// matchesAny reports whether hash is one of hashes. It compares with all of them in constant time, so that the
// duration reveals neither how much of a hash matched nor which one.
func matchesAny(hash string, hashes []string) bool {
	found := 0
	for _, known := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(hash), []byte(known))
	}
	return hash != "" && found == 1
}

// authorize passes a request on if its token belongs to an operator according to the settings in force at this
// entry, or if it is the bootstrap token and the platform holds no settings tree yet.
func (s *Server) authorize(req *restful.Request, resp *restful.Response, chain *restful.FilterChain) {
	hash := tokenHash(req.Request)
	if snapshot := s.deps.Snapshots.Snapshot(); snapshot != nil && snapshot.Version > 0 {
		if matchesAny(hash, snapshot.OperatorKeyHashes) {
			chain.ProcessFilter(req, resp)
			return
		}
		writeProblem(resp, unauthorized())
		return
	}
	if !s.isBootstrapToken(hash) {
		writeProblem(resp, unauthorized())
		return
	}
	// An entry that started during a platform outage has no snapshot either, although a tree may exist.
	_, err := s.deps.Store.Get(req.Request.Context(), platform.KindSettings, platform.SettingsName)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		chain.ProcessFilter(req, resp)
	case err == nil:
		writeProblem(resp, unauthorized())
	default:
		writeProblem(resp, problemOf(err))
	}
}

func (s *Server) isBootstrapToken(hash string) bool {
	return matchesAny(hash, []string{s.deps.BootstrapKeyHash})
}

// isAuthorized checks the token against the tree that is about to be replaced, so that a revoked token cannot
// change settings through an entry that has not yet received the revocation.
func (s *Server) isAuthorized(tree *settings.Tree, version platform.Version, hash string) bool {
	if version == 0 {
		return s.isBootstrapToken(hash)
	}
	return matchesAny(hash, tree.Nodes[settings.Root].Values["operator_key_hashes"].List)
}

func unauthorized() *contract.Problem {
	return contract.NewRejection(http.StatusUnauthorized, contract.CodeUnauthorized, "this token is not an operator's",
		"send Authorization: Bearer with an operator's token; while there are no settings yet, the bootstrap token")
}
