package leader

import (
	"sync"

	"github.com/skylarkpond/skylarkpond/entry/catalog"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
)

// objectMessages holds the latest messages with objects of the platform that were sent to single followers. After a change of leader, hundreds
// of followers lack the same changes at the same time: encoding a large configuration takes some times its size in memory, for each of them. It is
// safe for concurrent use.
type objectMessages struct {
	mu      sync.Mutex // guards the fields below, and makes large messages be encoded one after the other
	config  configMessage
	changes map[changesKey]changesMessage
}

type configMessage struct {
	version uint64
	message *link.Shared
}

// changesKey identifies the changes of a kind that are sent to some of the followers.
type changesKey struct {
	kind         store.Kind
	routableOnly bool
}

type changesMessage struct {
	from, to store.Version
	message  *link.Shared
}

// ofConfig returns the message with a version of the configuration.
func (m *objectMessages) ofConfig(version uint64, spec []byte) *link.Shared {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.config.version != version {
		m.config = configMessage{version, encoded(link.Down{Config: &link.Config{Spec: spec}})}
	}
	return m.config.message
}

// ofChanges returns the message with a change set, of which the revisions and the kind determine the content.
func (m *objectMessages) ofChanges(changes catalog.ChangeSet, routableOnly bool) *link.Shared {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := changesKey{changes.Kind, routableOnly}
	if known := m.changes[key]; known.message != nil && known.from == changes.From && known.to == changes.To {
		return known.message
	}
	if m.changes == nil {
		m.changes = make(map[changesKey]changesMessage)
	}
	message := encoded(link.Down{ChangeSet: &changes})
	m.changes[key] = changesMessage{changes.From, changes.To, message}
	return message
}

// encoded returns a message that is encoded already.
func encoded(down link.Down) *link.Shared {
	message := &link.Shared{Down: down}
	message.Size()
	return message
}
