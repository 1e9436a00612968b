package turns

import (
	"time"

	"github.com/skylarkpond/skylarkpond/policy/plain"
)

// This file chooses among the servers of plain services, for which entries ask one by one while costs are learned: see package plain.

// plainRank rates a plain server, the lower the better.
func (s *Scheduler) plainRank(now time.Duration, g *group) float64 {
	return plain.Score(now, s.answers[g.Head], g.running, g.Engine.Slots)
}

// notePlain records that a plain server has answered a request or rejected it. Turns that ended otherwise say nothing of whether it rejects requests.
func (s *Scheduler) notePlain(now time.Duration, head string, end End) {
	g := s.groups[head]
	if g == nil || !g.Plain || !end.Complete && !end.Rejected {
		return
	}
	record := s.answers[head]
	if record == nil {
		record = &plain.Record{}
		s.answers[head] = record
	}
	record.Note(now, end.Rejected)
}

// sweepAnswers forgets the records that say nothing any more.
func (s *Scheduler) sweepAnswers(now time.Duration) {
	for head, record := range s.answers {
		if record.Negligible(now) {
			delete(s.answers, head)
		}
	}
}
