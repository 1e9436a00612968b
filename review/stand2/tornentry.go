package main

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/platform/standin/replica"
)

const (
	// drainTime is drainMs: the time after the store's acknowledgement in which requests may still reach a server that is draining.
	drainTime = 2 * time.Second
	// drainWatched is how long requests are sent after the server has said that it drains.
	drainWatched = 8 * time.Second
	// senders is the number of callers.
	senders = 6
	// torn is an entry of kind servers that another writer has written and of which the end is missing.
	torn = `{"metadata":{"name":"i-torn","revision":$revision},"spec":{"service":"desk","address":"127.0.0.1:9","zone":"z0","version":"v1","slo`
)

// tornEntry judges DRAIN: no request reaches a replica later than drainMs after the store's acknowledgement that it is draining.
func tornEntry(r *rig, trouble bool) (broken bool) {
	for range 3 {
		r.start(true)
	}
	await(20*time.Second, "all entries are ready, and each names three", func() bool { return r.allNamed(3) })
	stop := r.sendAllTheTime()
	defer stop()
	time.Sleep(4 * time.Second)
	if trouble {
		r.api.WriteOdd("servers", "i-torn", torn)
		r.note("another writer stores an entry of kind servers whose bytes end early")
	}
	time.Sleep(4 * time.Second)
	draining := r.servers[0]
	draining.StartLeaving()
	acknowledged := time.Now()
	r.note("%s says that it drains, and the store has acknowledged it", draining.ID())
	time.Sleep(drainWatched)
	stop()
	late := lateRuns(draining, acknowledged.Add(drainTime))
	for _, run := range late {
		r.note("late: %s was run by %s %.3f s after the acknowledgement", run.ID, draining.ID(), run.At.Sub(acknowledged).Seconds())
	}
	r.noteRuns(acknowledged)
	r.note("%d requests reached %s later than %v after the acknowledgement", len(late), draining.ID(), drainTime)
	return len(late) > 0
}

// noteRuns notes how many requests were sent and answered, and how many each server ran in each second around a time.
func (r *rig) noteRuns(around time.Time) {
	r.note("%d requests were sent to all entries, %d were answered 200", r.sent.Load(), r.answered.Load())
	for _, server := range r.servers {
		perSecond := make(map[int]int)
		for _, run := range server.Runs() {
			perSecond[int(math.Floor(run.At.Sub(around).Seconds()))]++
		}
		for _, second := range slices.Sorted(maps.Keys(perSecond)) {
			r.note("run by %s from second %d to %d after the acknowledgement: %d", server.ID(), second, second+1, perSecond[second])
		}
	}
}

func lateRuns(server *replica.Server, after time.Time) (late []replica.Run) {
	for _, run := range server.Runs() {
		if run.At.After(after) {
			late = append(late, run)
		}
	}
	return late
}

// sendAllTheTime lets callers send to all entries, one request after the other, until the function that is returned is called.
func (r *rig) sendAllTheTime() (stop func()) {
	stopped := make(chan struct{})
	var sending sync.WaitGroup
	entries := r.running()
	for i := range senders {
		sending.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("look-%d-%d", i, n)
				r.sent.Add(1)
				if err := r.send(entries[i%len(entries)].callers, id); err != nil {
					r.note("request %s to %s: %v", id, entries[i%len(entries)].name, err)
					continue
				}
				r.answered.Add(1)
			}
		})
	}
	var once sync.Once
	return func() {
		once.Do(func() {
			close(stopped)
			sending.Wait()
		})
	}
}
