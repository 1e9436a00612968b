package member

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Anti-entropy. Gossip is sent a limited number of times, and each copy may be lost; without this an
// entry that missed one would hold a dead peer live, or run on old settings, for good. Two entries
// compare one hash per bucket, list only the buckets that differ, and hand over what the other lacks.

const (
	bucketCount = 32
	// maxExchangeBytes bounds the items of an Exchanged; one is always sent, however large.
	maxExchangeBytes = 64 << 10
)

// scheduleSync asks for a digest exchange with an entry at the next tick. Called with mu held.
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

// syncPeriod is short while this entry is still learning who is there.
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

// digest hashes all that should be equal everywhere: entries that are not dead, and rumours without an
// end. Suspicions are left out; they come and go faster than digests.
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

func memberBucket(name string) int   { return int(hash(statusKey(name)) % bucketCount) }
func rumourBucket(v rumourVersion) int     { return int(hash(v.key().String()) % bucketCount) }
func (m *Members) selfBucket() int   { return memberBucket(m.self.Name) }
func contains(set []int, b int) bool { return slices.Contains(set, b) }

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

// handleDigest answers with what is held in the buckets that differ.
func (m *Members) handleDigest(now time.Time, from string, d Digest) (DigestReply, error) {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(now)
	if d.Self.Name != from {
		return DigestReply{}, ErrNameMismatch
	}
	m.observeTime(d.Time)
	m.recordContact(now, d.Self)
	listing := DigestReply{Time: m.timestamp(), Self: m.self}
	for b, sum := range m.digest() {
		if b >= len(d.Buckets) || sum != d.Buckets[b] {
			listing.Buckets = append(listing.Buckets, b)
		}
	}
	m.eachStatus(func(s Status) {
		if contains(listing.Buckets, memberBucket(s.Name)) {
			listing.Statuses = append(listing.Statuses, s)
		}
	})
	m.eachVersion(func(v rumourVersion) {
		if contains(listing.Buckets, rumourBucket(v)) {
			listing.Versions = append(listing.Versions, v)
		}
	})
	return listing, nil
}

// finishDigest compares the listing with the own tables. Called with mu held.
func (m *Members) finishDigest(now time.Time, c call, r result) []call {
	if r.err != nil {
		return nil
	}
	m.observeTime(r.digestReply.Time)
	m.recordContact(now, r.digestReply.Self)
	m.confirmFresh(now, c.sentAt)
	ask := Exchange{
		WantProfiles: m.applyListedStatuses(now, c.to, r.digestReply),
		WantRumours:  m.missingRumours(r.digestReply),
	}
	ask.Items = append(m.profilesToSend(r.digestReply), m.rumoursToSend(r.digestReply)...)
	if len(ask.Items) == 0 && len(ask.WantProfiles) == 0 && len(ask.WantRumours) == 0 {
		return nil
	}
	return []call{{kind: callExchange, to: c.to, address: c.address, exchange: ask}}
}

// applyListedStatuses takes in the listed statuses and returns whose profile is missing.
func (m *Members) applyListedStatuses(now time.Time, from string, l DigestReply) []string {
	var lacking []string
	for _, s := range l.Statuses {
		p := m.peers[s.Name]
		if s.Name != m.self.Name && (p == nil || p.status.Incarnation != s.Incarnation) {
			lacking = append(lacking, s.Name)
			continue
		}
		m.applyStatus(now, from, s, false)
	}
	return lacking
}

// profilesToSend returns what the other lacks, or holds in an older state, as profiles. What it lists
// and this entry holds dead is among them.
func (m *Members) profilesToSend(l DigestReply) []item {
	listed := make(map[string]Status, len(l.Statuses))
	for _, s := range l.Statuses {
		listed[s.Name] = s
	}
	var give []item
	offer := func(s Status, pr *profile) {
		theirs, known := listed[s.Name]
		if (known && supersedes(s, theirs)) || (!known && s.State != Dead) {
			give = append(give, item{Profile: pr})
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
	return give
}

func (m *Members) missingRumours(l DigestReply) []rumourVersion {
	var lacking []rumourVersion
	for _, v := range l.Versions {
		if m.rumours[v.key()].rumour.Version < v.Version {
			lacking = append(lacking, v)
		}
	}
	return lacking
}

// rumoursToSend announces what is too large to give unasked.
func (m *Members) rumoursToSend(l DigestReply) []item {
	theirs := make(map[rumourKey]uint64, len(l.Versions))
	for _, v := range l.Versions {
		theirs[v.key()] = v.Version
	}
	var give []item
	m.eachVersion(func(v rumourVersion) {
		if contains(l.Buckets, rumourBucket(v)) && theirs[v.key()] < v.Version {
			give = append(give, item{Rumour: inlineOrAnnounced(m.rumours[v.key()].rumour)})
		}
	})
	return give
}

// handleExchange takes what is given and answers what is wanted, and corrects what it knows better.
func (m *Members) handleExchange(now time.Time, from string, e Exchange) (ExchangeReply, error) {
	m.mu.Lock()
	defer m.unlock()
	m.checkPause(now)
	m.applyItems(now, from, e.Items, false)
	var out itemBatch
	for _, it := range e.Items {
		if it.Profile != nil {
			m.addCorrection(&out, it.Profile.Status)
		}
	}
	for _, name := range e.WantProfiles {
		if name == m.self.Name {
			out.add(item{Profile: profileOf(m.self, m.selfEntry)})
		} else if p := m.peers[name]; p != nil {
			out.add(item{Profile: profileOf(p.status, p.entry)})
		}
	}
	for _, v := range e.WantRumours {
		if h, ok := m.rumours[v.key()]; ok && h.rumour.Version >= v.Version {
			r := h.rumour
			out.add(item{Rumour: &r})
		}
	}
	return ExchangeReply{Items: out.items, More: out.full}, nil
}

// addCorrection adds this entry's status of a name if it replaces the one that was given.
func (m *Members) addCorrection(out *itemBatch, given Status) {
	if p := m.peers[given.Name]; p != nil && supersedes(p.status, given) {
		s := p.status
		out.add(item{Status: &s})
	}
}

// itemBatch collects items up to exchangeBytes; a first one always fits.
type itemBatch struct {
	items []item
	bytes int
	full  bool
}

// profileSizeEstimate is about the size of a profile or status.
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

// finishExchange takes in what was wanted. Called with mu held.
func (m *Members) finishExchange(now time.Time, c call, r result) {
	w := m.bodyFetches[c.fetch]
	if w != nil {
		w.inFlight = false
	}
	if r.err != nil {
		return
	}
	// What an announced rumour fetched is carried on as an announcement; what a digest found is old
	// news to the others.
	m.applyItems(now, c.to, r.exchangeReply.Items, w != nil)
	if r.exchangeReply.More {
		m.scheduleSync(c.to)
	}
}
