package suspects

import "time"

const (
	// memoryPeriod is the minimum time for which a finished trait is remembered.
	memoryPeriod = 30 * time.Second
	// maxRemembered bounds the traits that are remembered of one period. With more, the period ends earlier.
	maxRemembered = 8192
)

// trait identifies a trait of the requests of a service.
type trait struct{ service, name string }

// memory holds when requests with each trait last finished. It is not safe for concurrent use.
type memory struct {
	// current holds those since rotatedAt, previous those of the period before.
	current, previous map[trait]time.Time
	rotatedAt         time.Time
}

func newMemory() *memory { return &memory{current: make(map[trait]time.Time), rotatedAt: time.Now()} }

func (m *memory) note(service, name string, at time.Time) {
	if at.Sub(m.rotatedAt) > memoryPeriod || len(m.current) >= maxRemembered {
		m.previous, m.current, m.rotatedAt = m.current, make(map[trait]time.Time), at
	}
	m.current[trait{service, name}] = at
}

// at returns when a request with the trait last finished, if that is remembered.
func (m *memory) at(service, name string) (time.Time, bool) {
	if at, ok := m.current[trait{service, name}]; ok {
		return at, true
	}
	at, ok := m.previous[trait{service, name}]
	return at, ok
}
