// Package attempt reads and writes the platform records of requests that must run at most once.
//
// There is one record per team and idempotency key. Its conditional creation decides between "a home sends the
// request" and "the request never runs": a home claims right before it sends, a front seals before it tells the
// caller not-run, and the platform lets only one of the two succeed. Each write may replace the following:
//
//	claim N    no record, a seal of a lower number, an abandoned claim of N or lower
//	seal N     no record, a seal of a lower number, an abandoned claim of N+1 or lower
//	release N  no record, a seal of N-1 or lower, the holder's own claim of N
//	done       the claim of the same holder
//
// A claim is abandoned when its holder has told a front that it will never send under it. Nothing else ever replaces
// a claim, because its holder may be suspended between the claim and the send. A release is a seal of N-1: it ends
// the claim and restores the state that the claim replaced, so that attempt N can again be claimed or sealed by any
// entry.
package attempt

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/platform"
)

// ID identifies a record.
type ID struct {
	Team string
	Key  string
}

// ObjectName returns the name of the platform object.
func (id ID) ObjectName() string { return id.Team + "/" + id.Key }

// Verdict is the result of a call.
type Verdict uint8

// The verdicts.
const (
	// Confirmed means that the write took effect: the platform confirmed it, or the record has the writer's nonce.
	Confirmed Verdict = iota + 1
	// Found means that another record exists and may not be replaced. The write did not and cannot take effect.
	Found
	// KeyReused means that the existing record belongs to a request with another fingerprint.
	KeyReused
	// NotWritten means that the platform accepted no write and that none is pending. Find returns it if the record
	// cannot be read.
	NotWritten
	// Indeterminate means that the write may have taken effect, or may still take effect.
	Indeterminate
	// NoRecord means that there is no record. Only Find returns it.
	NoRecord
)

// String returns the text of the verdict for logs and time line events. Some texts differ from the names of the
// constants and do not change with them.
func (v Verdict) String() string {
	names := [...]string{"none", "confirmed", "found", "reused", "untouched", "unsure", "absent"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Settled reports whether a write was decided: it took effect, or another record prevents it.
func (v Verdict) Settled() bool { return v == Confirmed || v == Found || v == KeyReused }

// Result is the result of a call.
type Result struct {
	Verdict Verdict
	// Record is the existing record (Confirmed, Found, KeyReused), or the one that may come to exist (Indeterminate).
	Record contract.AttemptRecord
	// Version is the version of the existing record; 0 if there is none.
	Version platform.Version
}

// WriteRequest holds the parameters of a claim or a seal that come from the request.
type WriteRequest struct {
	ID ID
	// Number is the caller's attempt number.
	Number      int
	Fingerprint string
	RequestID   string
	// Retention is how long the record is kept.
	Retention time.Duration
	// AbandonedClaims lists the nonces of claims that may be replaced.
	AbandonedClaims []string
	// replaceEqualSeal allows replacing a seal of the same number. The new version invalidates a pending claim that
	// was written against the version of that seal.
	replaceEqualSeal bool
}

// defaultRetention is the retention of a seal whose service is unknown to this entry.
const defaultRetention = 24 * time.Hour

// Retention returns how long the records of a service are kept: defaultRetention if the service declares no time,
// else the declared time, but at least twice the longest request timeout. A dispatch can be delayed for that long in
// a home that is suspended, and a record that has been deleted no longer prevents a second run.
func Retention(s settings.Service) time.Duration {
	if s.AttemptRetention <= 0 {
		return defaultRetention
	}
	return max(s.AttemptRetention, 2*s.MaxRequestTimeout)
}

// Records reads and writes attempt records. It is safe for concurrent use.
type Records struct {
	store    platform.Store
	now      func() time.Time
	newNonce func() string
	// Sleep waits between the tries of a write until d has passed or ctx ends. Tests in virtual time replace it
	// before the first call.
	Sleep func(ctx context.Context, d time.Duration)
}

// New returns records that are kept in store. now returns the wall-clock time, which is only used for the expiry.
func New(store platform.Store, now func() time.Time) *Records {
	return &Records{store: store, now: now, newNonce: uuid.NewString, Sleep: func(ctx context.Context, d time.Duration) { wait.Pause(ctx, d) }}
}

// Claim acquires the right to send the request once for this home and incarnation. Only Confirmed grants it.
func (r *Records) Claim(ctx context.Context, req WriteRequest, home, incarnation string) Result {
	record := r.newRecord(req, contract.AttemptClaimed)
	record.Home = home
	record.Incarnation = incarnation
	return r.write(ctx, req, record)
}

// Seal ensures that attempts up to req.Number never run. Only Confirmed, or Found with a seal of at least that
// number, proves that they did not and cannot run.
func (r *Records) Seal(ctx context.Context, req WriteRequest) Result {
	return r.write(ctx, req, r.newRecord(req, contract.AttemptSealed))
}

// Release ends a claim of this holder under which nothing was or will be sent. Once the result is settled, the claim
// no longer exists.
func (r *Records) Release(ctx context.Context, req WriteRequest, claim Result) Result {
	record := r.newRecord(req, contract.AttemptSealed)
	record.Number = claim.Record.Number - 1
	req.AbandonedClaims = []string{claim.Record.Nonce}
	req.replaceEqualSeal = true
	return r.writeOver(ctx, req, record, claim.Version)
}

// Complete replaces a confirmed claim by the answer.
func (r *Records) Complete(ctx context.Context, id ID, claim Result, answer contract.StoredAnswer, retention time.Duration) Result {
	record := claim.Record
	record.State = contract.AttemptDone
	record.Answer = &answer
	record.Nonce = r.newNonce()
	record.ExpiresAt = r.now().Add(retention).Unix()
	req := WriteRequest{ID: id, Number: record.Number, Fingerprint: record.Fingerprint, AbandonedClaims: []string{claim.Record.Nonce}}
	return r.writeOver(ctx, req, record, claim.Version)
}

// Find reads the record. It returns Found, KeyReused or NoRecord, or NotWritten if the platform cannot be read.
func (r *Records) Find(ctx context.Context, id ID, fingerprint string) Result {
	existing, err := r.read(ctx, id)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return Result{Verdict: NoRecord}
	case err != nil:
		return Result{Verdict: NotWritten}
	case existing.Record.Fingerprint != fingerprint:
		existing.Verdict = KeyReused
	default:
		existing.Verdict = Found
	}
	return existing
}

func (r *Records) newRecord(req WriteRequest, state contract.AttemptState) contract.AttemptRecord {
	return contract.AttemptRecord{
		State: state, Number: req.Number, Fingerprint: req.Fingerprint, RequestID: req.RequestID,
		Nonce: r.newNonce(), ExpiresAt: r.now().Add(req.Retention).Unix(),
	}
}

func (r *Records) read(ctx context.Context, id ID) (Result, error) {
	object, err := r.store.Get(ctx, platform.KindAttempt, id.ObjectName())
	if err != nil {
		return Result{}, err
	}
	existing := Result{Version: object.Version}
	if err := json.Unmarshal(object.Value, &existing.Record); err != nil {
		return Result{}, err
	}
	return existing, nil
}

// minReplacingNumber returns the lowest number of a record that may replace an abandoned claim. Attempts below the
// claim's number may have been reported as not-run because of a seal that the claim replaced: another claim must not
// make one of them possible again, and a seal must still cover them.
func minReplacingNumber(claim, record contract.AttemptRecord) int {
	if record.State == contract.AttemptSealed {
		return claim.Number - 1
	}
	return claim.Number
}

// mayReplace reports whether record may be written over existing.
func (req *WriteRequest) mayReplace(existing, record contract.AttemptRecord) bool {
	switch existing.State {
	case contract.AttemptSealed:
		return existing.Number < record.Number || req.replaceEqualSeal && existing.Number == record.Number
	case contract.AttemptClaimed:
		return slices.Contains(req.AbandonedClaims, existing.Nonce) && record.Number >= minReplacingNumber(existing, record)
	default:
		return false
	}
}
