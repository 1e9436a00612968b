package outcome

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/contract/attempt"
)

const (
	groups       = 3
	answerEvents = 3
)

// teller is one caller's connection: what was asked for, and what was told.
type teller struct {
	request Request
	key     string
	outcome contract.Outcome
	code    contract.Code
	// events are what the caller got of the answer.
	events []string
	// called and returned are in steps.
	called, returned int64
}

func records(w *world, y yielder) *attempt.Records {
	r := attempt.New(store{w: w, y: y}, func() time.Time { return time.Unix(0, 0) })
	r.Sleep = func(context.Context, time.Duration) {}
	return r
}

func wish(r Request, key string, renounced []string) attempt.WriteRequest {
	return attempt.WriteRequest{
		ID: attempt.ID{Team: "t", Key: key}, Number: r.Attempt, Fingerprint: r.Fingerprint, RequestID: r.ID, AbandonedClaims: renounced,
	}
}

// events is the whole answer of one run. Two runs of a request differ, but on engines that resume.
func events(r Request, run string) []string {
	if r.Resumable {
		run = "any"
	}
	all := make([]string, answerEvents)
	for i := range all {
		all[i] = fmt.Sprintf("%s-%s-%d", r.Fingerprint, run, i)
	}
	return all
}

// front serves one connection with the machine under test.
func (w *world) front(t *teller) {
	t.called = w.clock
	w.tellers = append(w.tellers, t)
	w.spawn("front "+t.request.ID, func(y yielder) {
		m := New(t.request)
		r := records(w, y)
		var l *link
		tried := 0
		action := m.Start()
		for {
			switch action.Do {
			case Dispatch:
				action = w.dispatch(t, m, action, y, &l, &tried)
			case Seal:
				action = m.Sealed(r.Seal(context.Background(), wish(t.request, t.key, action.Renounced)))
			case Find:
				action = m.Found(r.Find(context.Background(), attempt.ID{Team: "t", Key: t.key}, t.request.Fingerprint))
			case AskHolder:
				holder := action.Attempt
				y(step{do: func() { action = m.Holder(w.ask(holder)) }})
			case Tell:
				t.tell(action)
				t.returned = w.clock
				return
			default:
				action = w.wait(t, m, l, y)
			}
		}
	})
}

func (t *teller) tell(a Action) {
	t.outcome = a.Outcome
	if a.Problem != nil {
		t.code = a.Problem.Code
	}
	if a.Stored != nil {
		t.events = strings.Fields(string(a.Stored.Body))
	}
}

func (w *world) dispatch(t *teller, m *Machine, a Action, y yielder, l **link, tried *int) (next Action) {
	if a.Restart {
		t.events = nil
	}
	if *l != nil {
		(*l).closed = true
	}
	y(step{do: func() {
		if *tried == groups || w.chance(15, "no group") {
			next = m.NoDispatch(contract.NewRetryLater(contract.CodeNoGroup, "none", RetrySoon))
			return
		}
		*tried++
		*l = &link{}
		next = Action{Do: Wait}
		w.home(t, *l, a)
	}})
	return next
}

func (w *world) wait(t *teller, m *Machine, l *link, y yielder) (next Action) {
	ready := func() bool { return !w.calm || len(l.frames) > 0 || l.home.over }
	y(step{ready: ready, do: func() {
		next = Action{Do: Wait}
		if w.chance(4, "deadline") {
			next = m.Deadline()
			return
		}
		if len(l.frames) == 0 && !l.home.over && !w.chance(10, "lost") {
			return
		}
		if !l.taken && w.chance(10, "not sent") {
			w.kill(l.home)
			next = m.Lost(true)
			return
		}
		f, lost := w.receive(l)
		if lost {
			next = m.Lost(false)
			return
		}
		next = m.Frame(f)
		if next.Do == Deliver {
			t.events = append(t.events, f.Text)
			if w.chance(50, "delivered") {
				m.Delivered()
			}
			next = Action{Do: Wait}
		}
	}})
	return next
}

// ask is the holder's own answer; a dead or frozen one gives none. A home that has given its claim up goes on
// answering for it.
func (w *world) ask(holder contract.AttemptRecord) HolderAnswer {
	i := slices.IndexFunc(w.actors, func(a *actor) bool { return a.name == holder.Home })
	switch {
	case i < 0 || w.actors[i].dead || w.actors[i].frozen:
		return HolderSilent
	case w.givenUp[holder.Nonce]:
		return HolderGaveUp
	case !w.actors[i].over:
		return HolderWorking
	}
	return HolderSilent
}

// home handles one dispatch: queue, claim, one send, events, answer kept, end.
func (w *world) home(t *teller, l *link, a Action) {
	q := t.request
	name := w.newID("home")
	l.home = w.spawn(name, func(y yielder) {
		seq := uint64(0)
		var claim attempt.Result
		send := func(f contract.Frame) {
			f.RequestID = q.ID
			f.Seq = seq
			seq++
			if !l.closed {
				l.frames = append(l.frames, f)
			}
		}
		refuse := func(code contract.Code) {
			f := contract.Frame{Kind: contract.FrameRefused, Problem: contract.NewRetryLater(code, "", RetrySoon)}
			if claim.Verdict != 0 {
				f.Record = &claim.Record
				w.givenUp[claim.Record.Nonce] = true
			}
			send(f)
			if claim.Verdict != 0 {
				y(step{do: func() {}})
				records(w, y).Release(context.Background(), wish(q, t.key, nil), claim)
			}
		}
		r := records(w, y)
		refused := false
		y(step{do: func() { l.taken = true; refused = w.chance(20, "queue full") }})
		if refused {
			refuse(contract.CodeOverloaded)
			return
		}
		if q.Unrepeatable {
			result := r.Claim(context.Background(), wish(q, t.key, a.Renounced), name, "1")
			switch result.Verdict {
			case attempt.Confirmed:
				claim = result
				send(contract.Frame{Kind: contract.FrameClaimed})
			case attempt.Found, attempt.KeyReused:
				send(contract.Frame{Kind: contract.FrameRecordExists, Record: &result.Record})
				return
			case attempt.Indeterminate:
				claim = result
				refuse(contract.CodePlatformUnavailable)
				return
			default:
				refuse(contract.CodePlatformUnavailable)
				return
			}
		}
		y(step{do: func() { refused = w.chance(10, "not whole") }})
		if refused {
			refuse(contract.CodeNoGroup)
			return
		}
		send(contract.Frame{Kind: contract.FrameSent})
		w.engine(t, a, y, r, claim, send, refuse)
	})
}

func (w *world) engine(
	t *teller, a Action, y yielder, r *attempt.Records, claim attempt.Result, send func(contract.Frame), refuse func(contract.Code),
) {
	q := t.request
	refused, broke := false, false
	all := events(q, w.newID("run"))
	y(step{do: func() {
		if refused = w.chance(10, "engine refuses"); !refused {
			w.runs = append(w.runs, runLog{q.ID, t.key, q.Fingerprint, q.Attempt, all, w.clock})
		}
	}})
	if refused {
		refuse(contract.CodeBackendRefused)
		return
	}
	from := a.ResumeFrom
	if !q.Resumable {
		from = 0
	}
	for i := from; i < uint64(len(all)); i++ {
		y(step{do: func() { broke = w.chance(7, "engine breaks") }})
		if broke {
			send(contract.Frame{Kind: contract.FrameBroken, Problem: problemTruncated()})
			return
		}
		last := i == uint64(len(all))-1
		if last && q.Unrepeatable {
			r.Complete(context.Background(), attempt.ID{Team: "t", Key: t.key}, claim, contract.StoredAnswer{Body: []byte(strings.Join(all, " "))}, 0)
		}
		send(contract.Frame{Kind: contract.FrameEvent, EventSeq: i, Text: all[i], Final: last})
	}
	send(contract.Frame{Kind: contract.FrameEnd})
}
