package backoff

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// way decides which of a server's rejections bind which clients.
type way string

const (
	ownWay    way = "each client by itself"
	allWay    way = "one client's pause binds all"
	sharedWay way = "this package"
)

// fleet is what is known of servers.
type fleet struct {
	way     way
	servers map[string]*Server
}

// state returns what bears on a client's requests to a server, and the client's name there.
func (f *fleet) state(server int, client string) (*Server, string) {
	key := fmt.Sprint(server)
	switch f.way {
	case ownWay:
		key += "/" + client
	case allWay:
		client = ""
	}
	if f.servers[key] == nil {
		f.servers[key] = &Server{}
	}
	return f.servers[key], client
}

type figures struct {
	// turnedAway counts requests that servers rejected, refused those that got no other server, and late those within the pause of their client.
	turnedAway, refused, late int
	// used counts the requests that shedding servers ran for the clients that they did not reject.
	used int
	// back is when a server ran the first request after it had ceased to shed, and burst the most that began in 20 ms from then on.
	back  time.Duration
	burst int
}

// play sends requests to servers, of which some reject those of some clients for 8 s and ask for 3 s. Accepted requests take 300 ms; a client hears of
// an answer after 10 ms. A rejected request is sent to one other server.
func play(w way, clients, perSecond int, rejects func(client int) bool) figures {
	const servers, shedding, slots = 12, 4, 48
	const length, shedUntil, pause, took, heard = 14 * time.Second, 8 * time.Second, 3 * time.Second, 300 * time.Millisecond, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	f := &fleet{way: w, servers: make(map[string]*Server)}
	var got figures
	running := make([]int, servers)
	events := make(map[time.Duration][]func(now time.Duration))
	first := make(map[string]time.Duration)
	accepted := make(map[time.Duration]int)
	var send func(now time.Duration, client, tried int)
	send = func(now time.Duration, client, tried int) {
		name, best, bestProbe := fmt.Sprint(client), -1, false
		for _, i := range random.Perm(servers) {
			state, key := f.state(i, name)
			allowed, probe := state.Allows(now, key)
			if !allowed || i == tried || running[i] >= slots || probe && tried >= 0 {
				continue
			}
			if best < 0 || running[i] < running[best] {
				best, bestProbe = i, probe
			}
		}
		if best < 0 {
			got.refused++
			return
		}
		state, key := f.state(best, name)
		id := fmt.Sprint(now, client, tried)
		if bestProbe {
			state.Probe(now, id)
		}
		running[best]++
		if best < shedding && now < shedUntil && rejects(client) {
			events[now+heard] = append(events[now+heard], func(now time.Duration) {
				running[best]--
				got.turnedAway++
				pair := fmt.Sprint(best, "/", name)
				if at, ok := first[pair]; ok && now > at+500*time.Millisecond && now < at+pause {
					got.late++
				} else if !ok || now >= at+pause {
					first[pair] = now
				}
				state.Reject(now, key, pause)
				state.EndProbe(id)
				if tried < 0 {
					send(now, client, best)
				} else {
					got.refused++
				}
			})
			return
		}
		if best < shedding && now < shedUntil {
			got.used++
		}
		if best < shedding && now >= shedUntil {
			accepted[now/(20*time.Millisecond)]++
			if got.back == 0 {
				got.back = now - shedUntil
			}
		}
		sentAt := now
		events[now+heard] = append(events[now+heard], func(now time.Duration) {
			if state.Watched() {
				state.Accept(now, sentAt)
			}
		})
		events[now+took] = append(events[now+took], func(time.Duration) { running[best]-- })
	}
	due := 0.0
	for now := time.Duration(0); now < length; now += time.Millisecond {
		for _, event := range events[now] {
			event(now)
		}
		delete(events, now)
		for due += float64(perSecond) / 1000; due >= 1; due-- {
			send(now, random.IntN(clients), -1)
		}
	}
	for _, n := range accepted {
		got.burst = max(got.burst, n)
	}
	return got
}

// Guards against a way that loses more requests to servers that shed, or that takes a server from clients that it has not rejected.
func TestComparesWays(t *testing.T) {
	all := func(int) bool { return true }
	oneInFive := func(client int) bool { return client%5 == 0 }
	for _, load := range []struct {
		name               string
		clients, perSecond int
		rejects            func(int) bool
	}{
		{"5 entries", 5, 600, all},
		{"21 entries", 21, 600, all},
		{"330 entries", 330, 1000, all},
		{"330 entries, one in five is rejected", 330, 1000, oneInFive},
	} {
		results := make(map[way]figures)
		for _, w := range []way{ownWay, allWay, sharedWay} {
			results[w] = play(w, load.clients, load.perSecond, load.rejects)
			t.Logf("%s, %s: %+v", load.name, w, results[w])
		}
		if results[sharedWay].turnedAway > results[ownWay].turnedAway || results[sharedWay].refused > results[ownWay].refused {
			t.Errorf("%s: more requests are lost than by each client itself", load.name)
		}
		if results[sharedWay].used < results[allWay].used {
			t.Errorf("%s: the servers are used less than if one client's pause bound all", load.name)
		}
	}
}
