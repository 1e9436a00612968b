package member

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Anti-entropy. Gossip is sent a limited number of times and each copy may be lost. Without repair, an
// entry that missed an item would consider a dead peer live, or run on old settings, forever. Two
// entries compare one hash per bucket, list only the buckets that differ, and send each other what is
// missing.

const (
	bucketCount = 32
	// maxExchangeBytes bounds the items of an ExchangeReply. The first item is always sent, however
	// large.
	maxExchangeBytes = 64 << 10
)

// scheduleSync schedules a digest exchange with an entry for the next tick. Called with mu held.
func (m *Members) scheduleSync(with string) {
	if with != "" {
		m.syncTarget = with
	}
}

func (m *Members) syncCalls(now time.Time) []call {
	with := m.syncTarget
	m.syncTarget = ""
	if with == "" {
		if now.Before(m.nextSync) {
			return nil
		}
		with = m.randomPeer()
	}
	m.nextSync = now.Add(m.jitter(m.syncPeriod(now)))
	p := m.peers[with]
	if p == nil {
		return nil
	}
	digest := Digest{Time: m.timestamp(), Self: m.self, Buckets: m.digest()}
	return []call{{kind: callDigest, to: with, address: p.entry.PeerAddress, digest: digest}}
}

// syncPeriod returns a shorter period while this entry is stale or has become fresh less than warmupTime
// ago.
func (m *Members) syncPeriod(now time.Time) time.Duration {
	if m.stale || now.Sub(m.freshSince) < warmupTime {
		return warmupSyncPeriod
	}
	return syncPeriod
}

func (m *Members) randomPeer() string {
	others := slices.DeleteFunc(slices.Clone(m.currentRing()), func(name string) bool { return name == m.self.Name })
	if len(others) == 0 {
		return ""
	}
	return others[m.rand.IntN(len(others))]
}

// digest hashes the state that should be equal on all entries: entries that are not dead, and rumours
// without a TTL. Suspicions are left out, since they change faster than digests are exchanged.
func (m *Members) digest() []uint64 {
	sums := make([]uint64, bucketCount)
	m.eachStatus(func(s Status) {
		sums[memberBucket(s.Name)] ^= hash(statusKey(s.Name), s.Incarnation, strconv.FormatUint(s.Counter, 10), strconv.FormatBool(s.Leaving))
	})
	m.eachVersion(func(v rumourVersion) {
		sums[rumourBucket(v)] ^= hash(v.key().String(), strconv.FormatUint(v.Version, 10))
	})
	return sums
}

func (v rumourVersion) key() rumourKey { return rumourKey{v.Topic, v.Name} }

func memberBucket(name string) int     { return int(hash(statusKey(name)) % bucketCount) }
func rumourBucket(v rumourVersion) int { return int(hash(v.key().String()) % bucketCount) }
func (m *Members) selfBucket() int     { return memberBucket(m.self.Name) }
func contains(set []int, b int) bool   { return slices.Contains(set, b) }

func hash(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

func (m *Members) eachStatus(visit func(Status)) {
	visit(m.self)
	for _, p := range m.order {
		if p.status.State != Dead {
			visit(p.status)
		}
	}
}

func (m *Members) eachVersion(visit func(rumourVersion)) {
	for _, key := range sortedKeys(m.rumours) {
		if h := m.rumours[key]; h.expires.IsZero() {
			visit(rumourVersion{Topic: key.topic, Name: key.name, Version: h.rumour.Version})
		}
	}
}

// handleDigest returns what this entry holds in the buckets that differ.
func (m *Members) handleDigest(now time.Time, from string, d Digest) (DigestReply, error) {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(now)
	if d.Self.Name != from {
		return DigestReply{}, ErrNameMismatch
	}
	m.observeTime(d.Time)
	m.recordContact(now, d.Self)
	reply := DigestReply{Time: m.timestamp(), Self: m.self}
	for b, sum := range m.digest() {
		if b >= len(d.Buckets) || sum != d.Buckets[b] {
			reply.Buckets = append(reply.Buckets, b)
		}
	}
	m.eachStatus(func(s Status) {
		if contains(reply.Buckets, memberBucket(s.Name)) {
			reply.Statuses = append(reply.Statuses, s)
		}
	})
	m.eachVersion(func(v rumourVersion) {
		if contains(reply.Buckets, rumourBucket(v)) {
			reply.Versions = append(reply.Versions, v)
		}
	})
	return reply, nil
}

// finishDigest compares the reply with this entry's state. Called with mu held.
func (m *Members) finishDigest(now time.Time, c call, r result) []call {
	if r.err != nil {
		return nil
	}
	m.observeTime(r.digestReply.Time)
	m.recordContact(now, r.digestReply.Self)
	m.confirmFresh(now, c.sentAt)
	request := Exchange{
		WantProfiles: m.applyListedStatuses(now, c.to, r.digestReply),
		WantRumours:  m.missingRumours(r.digestReply),
	}
	request.Items = append(m.profilesToSend(r.digestReply), m.rumoursToSend(r.digestReply)...)
	if len(request.Items) == 0 && len(request.WantProfiles) == 0 && len(request.WantRumours) == 0 {
		return nil
	}
	return []call{{kind: callExchange, to: c.to, address: c.address, exchange: request}}
}

// applyListedStatuses applies the listed statuses and returns the names whose profile is missing.
func (m *Members) applyListedStatuses(now time.Time, from string, l DigestReply) []string {
	var missing []string
	for _, s := range l.Statuses {
		p := m.peers[s.Name]
		if s.Name != m.self.Name && (p == nil || p.status.Incarnation != s.Incarnation) {
			missing = append(missing, s.Name)
			continue
		}
		m.applyStatus(now, from, s, false)
	}
	return missing
}

// profilesToSend returns the profiles of entries that the peer lacks or holds with an older status.
// These include entries that the peer lists and this entry considers dead.
func (m *Members) profilesToSend(l DigestReply) []item {
	listed := make(map[string]Status, len(l.Statuses))
	for _, s := range l.Statuses {
		listed[s.Name] = s
	}
	var items []item
	offer := func(s Status, pr *profile) {
		theirs, known := listed[s.Name]
		if (known && supersedes(s, theirs)) || (!known && s.State != Dead) {
			items = append(items, item{Profile: pr})
		}
	}
	if contains(l.Buckets, m.selfBucket()) {
		offer(m.self, profileOf(m.self, m.selfEntry))
	}
	for _, p := range m.order {
		if contains(l.Buckets, memberBucket(p.status.Name)) {
			offer(p.status, profileOf(p.status, p.entry))
		}
	}
	return items
}

func (m *Members) missingRumours(l DigestReply) []rumourVersion {
	var missing []rumourVersion
	for _, v := range l.Versions {
		if m.rumours[v.key()].rumour.Version < v.Version {
			missing = append(missing, v)
		}
	}
	return missing
}

// rumoursToSend returns the rumours that the peer lacks; those with large bodies are only announced.
func (m *Members) rumoursToSend(l DigestReply) []item {
	theirs := make(map[rumourKey]uint64, len(l.Versions))
	for _, v := range l.Versions {
		theirs[v.key()] = v.Version
	}
	var items []item
	m.eachVersion(func(v rumourVersion) {
		if contains(l.Buckets, rumourBucket(v)) && theirs[v.key()] < v.Version {
			items = append(items, item{Rumour: inlineOrAnnounced(m.rumours[v.key()].rumour)})
		}
	})
	return items
}

// handleExchange applies the items received, returns those requested, and corrects received statuses
// that are out of date.
func (m *Members) handleExchange(now time.Time, from string, e Exchange) (ExchangeReply, error) {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(now)
	m.applyItems(now, from, e.Items, false)
	var batch itemBatch
	for _, it := range e.Items {
		if it.Profile != nil {
			m.addCorrection(&batch, it.Profile.Status)
		}
	}
	for _, name := range e.WantProfiles {
		if name == m.self.Name {
			batch.add(item{Profile: profileOf(m.self, m.selfEntry)})
		} else if p := m.peers[name]; p != nil {
			batch.add(item{Profile: profileOf(p.status, p.entry)})
		}
	}
	for _, v := range e.WantRumours {
		if h, ok := m.rumours[v.key()]; ok && h.rumour.Version >= v.Version {
			r := h.rumour
			batch.add(item{Rumour: &r})
		}
	}
	return ExchangeReply{Items: batch.items, More: batch.full}, nil
}

// addCorrection adds this entry's status of a peer if it supersedes the one received.
func (m *Members) addCorrection(batch *itemBatch, given Status) {
	if p := m.peers[given.Name]; p != nil && supersedes(p.status, given) {
		s := p.status
		batch.add(item{Status: &s})
	}
}

// itemBatch collects items up to maxExchangeBytes. The first item always fits.
type itemBatch struct {
	items []item
	bytes int
	full  bool
}

// profileSizeEstimate is the approximate encoded size of a profile or status.
const profileSizeEstimate = 250

func (p *itemBatch) add(it item) {
	size := profileSizeEstimate
	if it.Rumour != nil {
		size = len(it.Rumour.Body) + profileSizeEstimate
	}
	if p.full || (p.bytes+size > maxExchangeBytes && len(p.items) > 0) {
		p.full = true
		return
	}
	p.bytes += size
	p.items = append(p.items, it)
}

// finishExchange applies the items received. Called with mu held.
func (m *Members) finishExchange(now time.Time, c call, r result) {
	w := m.bodyFetches[c.fetch]
	if w != nil {
		w.inFlight = false
	}
	if r.err != nil {
		return
	}
	// A body fetched for an announcement is gossiped on, as an announcement. Items found by a digest are
	// not, since most entries already have them.
	m.applyItems(now, c.to, r.exchangeReply.Items, w != nil)
	if r.exchangeReply.More {
		m.scheduleSync(c.to)
	}
}
