package leader

import (
	"github.com/skylarkpond/skylarkpond/entry/catalog"
	link "github.com/skylarkpond/skylarkpond/link/leader"
	store "github.com/skylarkpond/skylarkpond/link/platform"
)

// catchUp passes on what an entry has missed. Where that is no longer known, the entry is told of a gap and reads for itself.
func (l *Leader) catchUp(to sender, revisions map[store.Kind]store.Version) {
	for kind, revision := range revisions {
		news, ok := l.deps.ChangesSince(kind, revision)
		if !ok {
			news = link.Gap(kind, revision+1)
		}
		to.Send(link.Down{News: &news})
	}
}

// Broadcast tells all followers what a watch of this entry brought. Some link to it before it knows that it holds the lease.
func (l *Leader) Broadcast(news catalog.News) {
	if len(news.Changes) == 0 && news.From != 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if passed := l.passed[news.Kind]; passed > 0 {
		news.From = min(news.From, passed) // what lies between brought nothing, and was not passed on
	}
	l.passed[news.Kind] = news.To
	if len(l.followers) == 0 {
		return
	}
	shared := &link.Shared{Down: link.Down{News: &news}}
	if shared.Size()*len(l.followers) > mostPassed {
		gap := link.Gap(news.Kind, news.To)
		shared = &link.Shared{Down: link.Down{News: &gap}}
	}
	l.share(shared)
}

// mostPassed bounds the bytes of one piece of news over all followers. A leader whose link carries 14 Mbit/s sends them in half a second, in
// which nothing else goes out; were a large configuration passed on to all, links would time out, and it would be in force late. What is
// larger is read from the platform by each follower.
const mostPassed = 900 << 10

// passConfig sends the configuration to a follower that has an older one.
func (l *Leader) passConfig(to sender, has uint64) {
	version, spec := l.deps.Config()
	if version > has && spec != nil {
		to.Send(link.Down{Config: &link.Config{Spec: spec}})
	}
}
