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
	groups          = 3
	eventsPerAnswer = 3
)

// connection is the connection of one caller: its request, and what it was told.
type connection struct {
	request Request
	key     string
	outcome contract.Outcome
	code    contract.Code
	// events holds the events of the answer that the caller received.
	events []string
	// called and returned are step numbers.
	called, returned int64
}

func newRecords(sim *simulation, yield yieldFunc) *attempt.Records {
	r := attempt.New(store{sim: sim, yield: yield}, func() time.Time { return time.Unix(0, 0) })
	r.Sleep = func(context.Context, time.Duration) {}
	return r
}

func writeRequest(r Request, key string, abandoned []string) attempt.WriteRequest {
	return attempt.WriteRequest{
		ID: attempt.ID{Team: "t", Key: key}, Number: r.AttemptNumber, Fingerprint: r.Fingerprint, RequestID: r.ID, AbandonedClaims: abandoned,
	}
}

// answerOf returns the events of the complete answer of one run. Two runs of a request give different answers, except
// on engines that can resume.
func answerOf(r Request, run string) []string {
	if r.Resumable {
		run = "any"
	}
	all := make([]string, eventsPerAnswer)
	for i := range all {
		all[i] = fmt.Sprintf("%s-%s-%d", r.Fingerprint, run, i)
	}
	return all
}

// front serves one connection with the machine under test.
func (sim *simulation) front(conn *connection) {
	conn.called = sim.steps
	sim.connections = append(sim.connections, conn)
	sim.spawn("front "+conn.request.ID, func(yield yieldFunc) {
		m := New(conn.request)
		r := newRecords(sim, yield)
		var l *link
		tried := 0
		action := m.Start()
		for {
			switch action.Kind {
			case Dispatch:
				action = sim.dispatch(conn, m, action, yield, &l, &tried)
			case Seal:
				action = m.HandleSeal(r.Seal(context.Background(), writeRequest(conn.request, conn.key, action.AbandonedClaims)))
			case Find:
				action = m.HandleFind(r.Find(context.Background(), attempt.ID{Team: "t", Key: conn.key}, conn.request.Fingerprint))
			case AskHolder:
				holder := action.Claim
				yield(step{do: func() { action = m.HandleHolderAnswer(sim.askHolder(holder)) }})
			case Finish:
				conn.finish(action)
				conn.returned = sim.steps
				return
			default:
				action = sim.receiveFrame(conn, m, l, yield)
			}
		}
	})
}

func (conn *connection) finish(a Action) {
	conn.outcome = a.Outcome
	if a.Problem != nil {
		conn.code = a.Problem.Code
	}
	if a.StoredAnswer != nil {
		conn.events = strings.Fields(string(a.StoredAnswer.Body))
	}
}

func (sim *simulation) dispatch(conn *connection, m *Machine, a Action, yield yieldFunc, l **link, tried *int) (next Action) {
	if a.Restart {
		conn.events = nil
	}
	if *l != nil {
		(*l).closed = true
	}
	yield(step{do: func() {
		if *tried == groups || sim.chance(15, "no group") {
			next = m.HandleNoDispatch(contract.NewRetryLater(contract.CodeNoGroup, "none", RetryAfterShort))
			return
		}
		*tried++
		*l = &link{}
		next = Action{Kind: Wait}
		sim.home(conn, *l, a)
	}})
	return next
}

func (sim *simulation) receiveFrame(conn *connection, m *Machine, l *link, yield yieldFunc) (next Action) {
	ready := func() bool { return !sim.noFaults || len(l.frames) > 0 || l.home.finished }
	yield(step{ready: ready, do: func() {
		next = Action{Kind: Wait}
		if sim.chance(4, "deadline") {
			next = m.HandleDeadline()
			return
		}
		if len(l.frames) == 0 && !l.home.finished && !sim.chance(10, "lost") {
			return
		}
		if !l.received && sim.chance(10, "not sent") {
			sim.kill(l.home)
			next = m.HandleHomeLost(true)
			return
		}
		f, lost := sim.receive(l)
		if lost {
			next = m.HandleHomeLost(false)
			return
		}
		next = m.HandleFrame(f)
		if next.Kind == Deliver {
			conn.events = append(conn.events, f.Text)
			if sim.chance(50, "delivered") {
				m.MarkDelivered()
			}
			next = Action{Kind: Wait}
		}
	}})
	return next
}

// askHolder returns the holder's answer. A killed or frozen holder does not answer; a home that has given its claim
// up still answers for it.
func (sim *simulation) askHolder(holder contract.AttemptRecord) HolderAnswer {
	i := slices.IndexFunc(sim.actors, func(a *actor) bool { return a.name == holder.Home })
	switch {
	case i < 0 || sim.actors[i].killed || sim.actors[i].frozen:
		return HolderSilent
	case sim.givenUp[holder.Nonce]:
		return HolderGaveUp
	case !sim.actors[i].finished:
		return HolderWorking
	}
	return HolderSilent
}

// home handles one dispatch: it queues and claims the request, sends it once, forwards the events, stores the answer
// and ends.
func (sim *simulation) home(conn *connection, l *link, a Action) {
	req := conn.request
	name := sim.newID("home")
	l.home = sim.spawn(name, func(yield yieldFunc) {
		seq := uint64(0)
		var claim attempt.Result
		send := func(f contract.Frame) {
			f.RequestID = req.ID
			f.Seq = seq
			seq++
			if !l.closed {
				l.frames = append(l.frames, f)
			}
		}
		refuse := func(code contract.Code) {
			f := contract.Frame{Kind: contract.FrameRefused, Problem: contract.NewRetryLater(code, "", RetryAfterShort)}
			if claim.Verdict != 0 {
				f.Record = &claim.Record
				sim.givenUp[claim.Record.Nonce] = true
			}
			send(f)
			if claim.Verdict != 0 {
				yield(step{do: func() {}})
				newRecords(sim, yield).Release(context.Background(), writeRequest(req, conn.key, nil), claim)
			}
		}
		r := newRecords(sim, yield)
		refused := false
		yield(step{do: func() { l.received = true; refused = sim.chance(20, "queue full") }})
		if refused {
			refuse(contract.CodeOverloaded)
			return
		}
		if req.AtMostOnce {
			result := r.Claim(context.Background(), writeRequest(req, conn.key, a.AbandonedClaims), name, "1")
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
		yield(step{do: func() { refused = sim.chance(10, "not whole") }})
		if refused {
			refuse(contract.CodeNoGroup)
			return
		}
		send(contract.Frame{Kind: contract.FrameSent})
		sim.engine(conn, a, yield, r, claim, send, refuse)
	})
}

func (sim *simulation) engine(
	conn *connection, a Action, yield yieldFunc, r *attempt.Records, claim attempt.Result, send func(contract.Frame), refuse func(contract.Code),
) {
	req := conn.request
	refused, broke := false, false
	all := answerOf(req, sim.newID("run"))
	yield(step{do: func() {
		if refused = sim.chance(10, "engine refuses"); !refused {
			sim.runs = append(sim.runs, engineRun{req.ID, conn.key, req.Fingerprint, req.AttemptNumber, all, sim.steps})
		}
	}})
	if refused {
		refuse(contract.CodeBackendRefused)
		return
	}
	from := a.ResumeFrom
	if !req.Resumable {
		from = 0
	}
	for i := from; i < uint64(len(all)); i++ {
		yield(step{do: func() { broke = sim.chance(7, "engine breaks") }})
		if broke {
			send(contract.Frame{Kind: contract.FrameBroken, Problem: problemTruncated()})
			return
		}
		last := i == uint64(len(all))-1
		if last && req.AtMostOnce {
			r.Complete(context.Background(), attempt.ID{Team: "t", Key: conn.key}, claim, contract.StoredAnswer{Body: []byte(strings.Join(all, " "))}, 0)
		}
		send(contract.Frame{Kind: contract.FrameEvent, EventSeq: i, Text: all[i], Final: last})
	}
	send(contract.Frame{Kind: contract.FrameEnd})
}
