// Package attempt reads and writes the records of requests that may not be repeated, over the platform.
//
// One record stands for one team and key. Its conditional creation decides between "a home sends" and
// "it never runs": a home claims right before it sends, a front seals before it says not-run, and the
// platform lets only one of the two through. What each write may replace:
//
//	claim N    nothing, a seal of a lower number, a renounced claim of N or lower
//	seal N     nothing, a seal of a lower number, a renounced claim of N+1 or lower
//	release N  nothing, a seal of N-1 or lower, the holder's own claim of N
//	done       the claim of the same holder
//
// A claim is renounced when its holder told a front that it will never send under it. Nothing else ever
// replaces a claim: its holder may be frozen between the claim and the send. A release is a seal of N-1: it
// ends the claim and leaves open what the claim found, so that attempt N can be claimed or sealed by anybody.
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

// ID names a record.
type ID struct {
	Team string
	Key  string
}

// ObjectName is the name of the platform object.
func (id ID) ObjectName() string { return id.Team + "/" + id.Key }

// Verdict says what came of a call.
type Verdict uint8

// The verdicts.
const (
	// Confirmed: the write took effect; the platform answered so, or the record bears the writer's nonce.
	Confirmed Verdict = iota + 1
	// Found: another record stands and may not be replaced. The write did not and can't take effect.
	Found
	// KeyReused: the standing record is of a request with another fingerprint.
	KeyReused
	// NotWritten: the platform took no write, and none is on its way.
	NotWritten
	// Indeterminate: the write may have taken effect, or may yet.
	Indeterminate
	// NoRecord: there is no record (only from Find).
	NoRecord
)

// String names the verdict in logs.
func (v Verdict) String() string {
	names := [...]string{"none", "confirmed", "found", "reused", "untouched", "unsure", "absent"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Settled says that a write was decided: it took effect, or another record stands in its way.
func (v Verdict) Settled() bool { return v == Confirmed || v == Found || v == KeyReused }

// Result is what came of a call.
type Result struct {
	Verdict Verdict
	// Record is the record that stands (Confirmed, Found, Reused) or that may come to stand (Unsure).
	Record contract.AttemptRecord
	// Version is that of the record that stands; 0 otherwise.
	Version platform.Version
}

// WriteRequest is the part of a claim or a seal that the request gives.
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
	// refresh replaces a seal of the same number, so that a claim that is on its way to that seal's version can't land.
	refresh bool
}

// unknownRetention is that of a seal whose service this entry does not know.
const unknownRetention = 24 * time.Hour

// Retention is how long the records of a service are kept: as declared, and in any case for longer than a
// dispatch may lie in a home that sleeps, since a record that is gone decides nothing.
func Retention(s settings.Service) time.Duration {
	if s.AttemptRetention <= 0 {
		return unknownRetention
	}
	return max(s.AttemptRetention, 2*s.MaxRequestTimeout)
}

// Records reads and writes attempt records. It is safe for concurrent use.
type Records struct {
	store platform.Store
	clock func() time.Time
	nonce func() string
	// Sleep waits between the tries of a write, or until ctx is over. Tests in virtual time replace it
	// before the first call.
	Sleep func(ctx context.Context, d time.Duration)
}

// New returns records kept in store. The clock is the wall clock; it only stamps the expiry.
func New(store platform.Store, clock func() time.Time) *Records {
	return &Records{store: store, clock: clock, nonce: uuid.NewString, Sleep: func(ctx context.Context, d time.Duration) { wait.Pause(ctx, d) }}
}

// Claim takes the right to send, once, for this home and incarnation. Only Confirmed gives it.
func (r *Records) Claim(ctx context.Context, w WriteRequest, home, incarnation string) Result {
	record := r.record(w, contract.AttemptClaimed)
	record.Home = home
	record.Incarnation = incarnation
	return r.write(ctx, w, record)
}

// Seal makes sure that attempts up to w.Number never run. Only Confirmed, or a seal of at least that
// number Found, says that they didn't and can't.
func (r *Records) Seal(ctx context.Context, w WriteRequest) Result {
	return r.write(ctx, w, r.record(w, contract.AttemptSealed))
}

// Release ends a claim of this holder under which nothing was or will be sent. Once it is settled the claim does not
// stand.
func (r *Records) Release(ctx context.Context, w WriteRequest, claim Result) Result {
	record := r.record(w, contract.AttemptSealed)
	record.Number = claim.Record.Number - 1
	w.AbandonedClaims = []string{claim.Record.Nonce}
	w.refresh = true
	return r.writeFrom(ctx, w, record, claim.Version)
}

// Complete replaces a confirmed claim by the answer.
func (r *Records) Complete(ctx context.Context, id ID, claim Result, answer contract.StoredAnswer, retention time.Duration) Result {
	record := claim.Record
	record.State = contract.AttemptDone
	record.Answer = &answer
	record.Nonce = r.nonce()
	record.ExpiresAt = r.clock().Add(retention).Unix()
	w := WriteRequest{ID: id, Number: record.Number, Fingerprint: record.Fingerprint, AbandonedClaims: []string{claim.Record.Nonce}}
	return r.writeFrom(ctx, w, record, claim.Version)
}

// Find reads the record: Found, Reused, Absent, or Untouched if the platform can't be asked.
func (r *Records) Find(ctx context.Context, id ID, fingerprint string) Result {
	standing, err := r.read(ctx, id)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return Result{Verdict: NoRecord}
	case err != nil:
		return Result{Verdict: NotWritten}
	case standing.Record.Fingerprint != fingerprint:
		standing.Verdict = KeyReused
	default:
		standing.Verdict = Found
	}
	return standing
}

func (r *Records) record(w WriteRequest, state contract.AttemptState) contract.AttemptRecord {
	return contract.AttemptRecord{
		State: state, Number: w.Number, Fingerprint: w.Fingerprint, RequestID: w.RequestID,
		Nonce: r.nonce(), ExpiresAt: r.clock().Add(w.Retention).Unix(),
	}
}

func (r *Records) read(ctx context.Context, id ID) (Result, error) {
	object, err := r.store.Get(ctx, platform.KindAttempt, id.ObjectName())
	if err != nil {
		return Result{}, err
	}
	standing := Result{Version: object.Version}
	if err := json.Unmarshal(object.Value, &standing.Record); err != nil {
		return Result{}, err
	}
	return standing, nil
}

// leastOver is the lowest number that may replace a renounced claim. Attempts below that of the claim may have
// been told not-run by a seal that the claim replaced: another claim must not bring one of them back, and a
// seal must cover them still.
func leastOver(claim, record contract.AttemptRecord) int {
	if record.State == contract.AttemptSealed {
		return claim.Number - 1
	}
	return claim.Number
}

// mayReplace says whether record may be written over standing.
func (w *WriteRequest) mayReplace(standing, record contract.AttemptRecord) bool {
	switch standing.State {
	case contract.AttemptSealed:
		return standing.Number < record.Number || w.refresh && standing.Number == record.Number
	case contract.AttemptClaimed:
		return slices.Contains(w.AbandonedClaims, standing.Nonce) && record.Number >= leastOver(standing, record)
	default:
		return false
	}
}
