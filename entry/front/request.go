package front

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/settings"
)

// request is a caller's request, checked and classified.
type request struct {
	id       string
	snapshot *settings.Snapshot
	team     settings.Team
	service  settings.Service
	// key and attempt are set for requests that may not be repeated; chosen: by the caller.
	unrepeatable bool
	key          string
	chosen       bool
	attempt      int
	fingerprint  string
	timeout      time.Duration
	plain        *contract.PlainCall
	body         []byte
	// stream says that the caller of a completion wants server-sent events.
	stream bool
	model  string
	work   int
	prompt int
	prefix uint64
}

// maxAttempt bounds Skylarkpond-Attempt.
const maxAttempt = 1_000_000

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9_.:~-]{1,128}$`)

// authenticate finds the team by the hash of the bearer key.
func authenticate(snapshot *settings.Snapshot, header http.Header) (settings.Team, *contract.Problem) {
	scheme, key, ok := strings.Cut(header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return settings.Team{}, contract.NewRejection(http.StatusUnauthorized, contract.CodeUnauthorized,
			"no bearer key", "send Authorization: Bearer with the team's key")
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	team, ok := snapshot.TeamByKeyHash(hex.EncodeToString(sum[:]))
	if !ok {
		return settings.Team{}, contract.NewRejection(http.StatusUnauthorized, contract.CodeUnauthorized,
			"the bearer key is no team's", "check the key")
	}
	return team, nil
}

func allowed(team settings.Team, service string) *contract.Problem {
	if len(team.Services) == 0 || slices.Contains(team.Services, service) {
		return nil
	}
	return contract.NewRejection(http.StatusForbidden, contract.CodeForbidden,
		"the team may not call this service", "ask an operator")
}

// parseKey reads Idempotency-Key and Skylarkpond-Attempt.
func (q *request) parseKey(header http.Header) *contract.Problem {
	q.attempt = 1
	if key := header.Get(contract.HeaderIdempotencyKey); key != "" {
		if !keyPattern.MatchString(key) {
			return badHeader(contract.HeaderIdempotencyKey, "1 to 128 of the letters, digits and _.:~-")
		}
		q.key = key
		q.chosen = true
	}
	text := header.Get(contract.HeaderAttempt)
	if text == "" {
		return nil
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 || number > maxAttempt {
		return badHeader(contract.HeaderAttempt, "a number from 1 to 1000000")
	}
	q.attempt = number
	return nil
}

// parseTimeout reads Request-Timeout: seconds, with a fraction if need be.
func (q *request) parseTimeout(header http.Header) *contract.Problem {
	q.timeout = q.service.RequestTimeout
	text := header.Get(contract.HeaderRequestTimeout)
	if text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0) || seconds > 1e6 {
			return badHeader(contract.HeaderRequestTimeout, "a number of seconds above 0")
		}
		q.timeout = time.Duration(seconds * float64(time.Second))
	}
	q.timeout = min(q.timeout, q.service.MaxRequestTimeout)
	return nil
}

func badHeader(name, want string) *contract.Problem {
	return contract.NewRejection(http.StatusBadRequest, contract.CodeBadHeader, "bad header "+name, name+" is "+want)
}

// repeatable says whether a call may run more than once. Where the settings list a path in both lists
// the safer one counts.
func repeatable(service settings.Service, method, callPath string) bool {
	if hasPrefix(service.Unrepeatable, callPath) {
		return false
	}
	if service.Kind == settings.LanguageService || hasPrefix(service.Repeatable, callPath) {
		return true
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// hasPrefix matches whole path segments: /book covers /book and /book/7, not /bookings.
func hasPrefix(prefixes []string, callPath string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool {
		prefix = strings.TrimSuffix(prefix, "/")
		return callPath == prefix || strings.HasPrefix(callPath, prefix+"/")
	})
}

// cleanPath refuses paths that a backend server might read as another one than the settings name. A call
// of /a/../book or /%62ook/ would else slip past the list of paths that may not be repeated.
func cleanPath(r *http.Request, callPath string) *contract.Problem {
	trimmed := strings.TrimSuffix(callPath, "/")
	if r.URL.RawPath == "" && (callPath == "/" || path.Clean(callPath) == trimmed) && !strings.ContainsAny(callPath, "\\;%") {
		return nil
	}
	return contract.NewRejection(http.StatusBadRequest, contract.CodeUnknownPath,
		"the path is not in its plain form", "send it without empty or dotted segments and without escaped slashes")
}
