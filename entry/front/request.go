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

// request is a caller's request after parsing and classification.
type request struct {
	id       string
	snapshot *settings.Snapshot
	team     settings.Team
	service  settings.Service
	// atMostOnce requests have a key and an attempt number. keyFromCaller is set if the caller chose the key;
	// otherwise the front generates one.
	atMostOnce    bool
	key           string
	keyFromCaller bool
	attempt       int
	fingerprint   string
	timeout       time.Duration
	plain         *contract.PlainCall
	body          []byte
	// givenUp is set if the body was given up before it was read to its end, so that the fingerprint is not the request's.
	givenUp bool
	// stream is set if the caller of a completion wants server-sent events.
	stream          bool
	model           string
	estimatedTokens int
	promptTokens    int
	prefixHash      uint64
	parts           []string
}

// maxAttemptNumber bounds the header Skylarkpond-Attempt.
const maxAttemptNumber = 1_000_000

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9_.:~-]{1,128}$`)

// authenticate looks up the team by the hash of the bearer key.
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

// authorize checks that the team may call the service. A team without a list of services may call all of them.
func authorize(team settings.Team, service string) *contract.Problem {
	if len(team.Services) == 0 || slices.Contains(team.Services, service) {
		return nil
	}
	return contract.NewRejection(http.StatusForbidden, contract.CodeForbidden,
		"the team may not call this service", "ask an operator")
}

// parseKey parses the headers Idempotency-Key and Skylarkpond-Attempt.
func (q *request) parseKey(header http.Header) *contract.Problem {
	q.attempt = 1
	if key := header.Get(contract.HeaderIdempotencyKey); key != "" {
		if !keyPattern.MatchString(key) {
			return badHeader(contract.HeaderIdempotencyKey, "1 to 128 of the letters, digits and _.:~-")
		}
		q.key = key
		q.keyFromCaller = true
	}
	text := header.Get(contract.HeaderAttempt)
	if text == "" {
		return nil
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 || number > maxAttemptNumber {
		return badHeader(contract.HeaderAttempt, "a number from 1 to 1000000")
	}
	q.attempt = number
	return nil
}

// parseTimeout parses the header Request-Timeout, a decimal number of seconds, and caps it at the maximum of the
// service.
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

// repeatable reports whether a call may run more than once. A path that the settings list both as repeatable and
// as unrepeatable is unrepeatable, which is the safer choice.
func repeatable(service settings.Service, method, callPath string) bool {
	if matchesPathPrefix(service.Unrepeatable, callPath) {
		return false
	}
	if service.Kind == settings.LanguageService || matchesPathPrefix(service.Repeatable, callPath) {
		return true
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// matchesPathPrefix compares whole path segments: /book covers /book and /book/7 but not /bookings.
func matchesPathPrefix(prefixes []string, callPath string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool {
		prefix = strings.TrimSuffix(prefix, "/")
		return callPath == prefix || strings.HasPrefix(callPath, prefix+"/")
	})
}

// checkCanonicalPath rejects paths that a backend server might resolve to a different path than the settings do.
// Otherwise /a/../book or /%62ook/ would bypass the list of unrepeatable paths.
func checkCanonicalPath(r *http.Request, callPath string) *contract.Problem {
	trimmed := strings.TrimSuffix(callPath, "/")
	if r.URL.RawPath == "" && (callPath == "/" || path.Clean(callPath) == trimmed) && !strings.ContainsAny(callPath, "\\;%") {
		return nil
	}
	return contract.NewRejection(http.StatusBadRequest, contract.CodeUnknownPath,
		"the path is not in its plain form", "send it without empty or dotted segments and without escaped slashes")
}
