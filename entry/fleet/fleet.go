// Package fleet is an entry's table of groups: which exist (from the mirrored placements), which entry is
// home to each (computed from the live entries), and what their homes last said of them.
//
// The flow: placements change -> ApplyPlacement; a home's rumour or a frame of a dispatch brings a Status
// -> Report; fronts ask Candidates of a service and HomeOf a group; the own home role asks Homed.
package fleet

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// Report is what a home says of all its groups. It travels as one rumour, named after the home, when
// something in it changes. A status of each group in a rumour of its own would leave one behind for each
// group that ever was.
type Report struct {
	Home string `cbor:"1,keyasint"`
	// HLCTime orders the reports about a group: the sender's hybrid logical time.
	HLCTime  int64    `cbor:"2,keyasint"`
	Statuses []Status `cbor:"3,keyasint"`
}

// Status is what a home says of a group.
type Status struct {
	Group vm.GroupID `cbor:"1,keyasint"`
	// Home and At are those of the report.
	Home    string `cbor:"-"`
	HLCTime int64  `cbor:"-"`
	// Epoch is the group's epoch that the home probed for.
	Epoch uint64 `cbor:"3,keyasint"`
	// Whole says that every member was present when this was sent.
	Whole bool               `cbor:"4,keyasint"`
	Load  contract.GroupLoad `cbor:"5,keyasint"`
	// Reason says why the group is not whole.
	Reason string `cbor:"7,keyasint,omitempty"`
	// Drained is set when the group drains, takes no more, and Remaining is sure.
	Drained bool `cbor:"8,keyasint,omitempty"`
	// Remaining counts the requests still at work on a draining group, those of earlier homes included.
	Remaining int `cbor:"9,keyasint,omitempty"`
}

// Candidate is a group that a front may choose.
type Candidate struct {
	Group    vm.Group
	Position domain.Position
	Home     string
	Status   Status
	// ReceivedAt is when the status was taken in, by the own monotonic clock; zero if never.
	ReceivedAt time.Time
	// LoadReports counts the loads heard of the group, so that one that is told again is not taken for a new one.
	LoadReports uint64
	// WholeSince is when this entry first saw the group whole.
	WholeSince time.Time
}

// Routable says whether a front may send here: the home called the group whole, or has not been heard yet.
// An entry that has just started hears of each group within some seconds; until then it would refuse
// every caller, although the home checks anyway.
func (c *Candidate) Routable() bool {
	unheard := c.ReceivedAt.IsZero() || c.Status.Epoch != c.Group.Epoch
	return unheard || c.Status.Whole
}

type row struct {
	group        vm.Group
	fabric       domain.FabricDomain
	position     domain.Position
	status       Status
	heard        time.Time
	reports      uint64
	servingSince time.Time
	home         string // by Table.lived
}

// Table is the table. It is safe for concurrent use; mu is a leaf lock.
type Table struct {
	live func() []string
	now  func() time.Time
	// changed and removed are told of each change, without a lock held; set before use.
	changed func(Candidate)
	removed func(vm.GroupID)

	mu       sync.RWMutex // guards what follows
	rows     map[vm.GroupID]*row
	reports  map[string]Report // the latest of each home, for groups that are placed only later
	versions map[domain.FabricDomain]platform.Version
	// lived are the entries by which the homes in rows were named. Naming a home weighs every entry; at 630
	// groups and 330 entries, naming all at each look took 10 ms, twice a second.
	lived []string
}

// New returns an empty table. live names the entries that may be homes; it is called without a lock held.
func New(live func() []string, now func() time.Time) *Table {
	return &Table{
		live:     live,
		now:      now,
		changed:  func(Candidate) {},
		removed:  func(vm.GroupID) {},
		rows:     make(map[vm.GroupID]*row),
		reports:  make(map[string]Report),
		versions: make(map[domain.FabricDomain]platform.Version),
	}
}

// OnChange has changed called with each group that changes, and removed with each that is gone. Two
// changes may arrive out of order; the later one is made good by the next report, some seconds after.
// Call it before the table is used.
func (t *Table) OnChange(changed func(Candidate), removed func(vm.GroupID)) {
	t.changed = changed
	t.removed = removed
}

// ApplyPlacement takes in a placement object. An older version than the one applied changes nothing, so
// that changes which cross each other do not bring a dissolved group back.
func (t *Table) ApplyPlacement(object platform.Object) error {
	placement := vm.Placement{}
	if !object.Deleted {
		if err := json.Unmarshal(object.Value, &placement); err != nil {
			return err
		}
	}
	fabric := domain.FabricDomain(object.Name)
	gone := t.applyVersion(fabric, object.Version, &placement)
	for _, id := range gone {
		t.removed(id)
	}
	for _, group := range placement.Groups {
		t.tell(group.ID)
	}
	return nil
}

func (t *Table) applyVersion(fabric domain.FabricDomain, version platform.Version, placement *vm.Placement) []vm.GroupID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.versions[fabric] {
		return nil
	}
	t.versions[fabric] = version
	return t.replace(fabric, placement)
}

// tell hands a group as it is now to whoever listens.
func (t *Table) tell(id vm.GroupID) {
	if candidate, ok := t.Candidate(id); ok {
		t.changed(candidate)
	}
}

// replace must be called with mu held. It returns the groups that are gone.
func (t *Table) replace(fabric domain.FabricDomain, placement *vm.Placement) (gone []vm.GroupID) {
	for id, r := range t.rows {
		if r.fabric == fabric && placement.Group(id) == nil {
			delete(t.rows, id)
			gone = append(gone, id)
		}
	}
	for _, group := range placement.Groups {
		r := t.rows[group.ID]
		if r == nil {
			r = &row{fabric: fabric, home: homeOf(group.ID, t.lived)}
			t.rows[group.ID] = r
		}
		r.group = group
		r.position = placement.Position
	}
	for _, report := range t.reports {
		t.keepAll(report)
	}
	return gone
}

// ApplyReport takes in what a home says, from a rumour or from the own home role.
func (t *Table) ApplyReport(report Report) {
	for _, id := range t.take(report) {
		t.tell(id)
	}
}

func (t *Table) take(report Report) []vm.GroupID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if report.HLCTime <= t.reports[report.Home].HLCTime {
		return nil
	}
	t.reports[report.Home] = report
	return t.keepAll(report)
}

// keepAll must be called with mu held. It returns the groups whose status is new.
func (t *Table) keepAll(report Report) (changed []vm.GroupID) {
	for _, status := range report.Statuses {
		status.Home = report.Home
		status.HLCTime = report.HLCTime
		if t.keep(status) {
			changed = append(changed, status.Group)
		}
	}
	return changed
}

// keep must be called with mu held.
func (t *Table) keep(status Status) bool {
	r := t.rows[status.Group]
	if r == nil || status.HLCTime <= r.status.HLCTime {
		return false
	}
	r.status = status
	r.heard = t.now()
	r.reports++
	if !status.Whole {
		r.servingSince = time.Time{}
	} else if r.servingSince.IsZero() {
		r.servingSince = r.heard
	}
	return true
}

// ReportLoad takes in the load that came with a frame of a dispatch.
func (t *Table) ReportLoad(group vm.GroupID, load contract.GroupLoad) {
	t.keepLoad(group, load)
	t.tell(group)
}

func (t *Table) keepLoad(group vm.GroupID, load contract.GroupLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[group]; r != nil {
		r.status.Load = load
		r.reports++
	}
}

// Group returns a group and the version of the placement it was read from.
func (t *Table) Group(id vm.GroupID) (vm.Group, platform.Version, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.rows[id]
	if r == nil {
		return vm.Group{}, 0, false
	}
	return r.group, t.versions[r.fabric], true
}

// Candidate returns what is known of one group.
func (t *Table) Candidate(id vm.GroupID) (Candidate, bool) {
	t.nameHomes(t.live())
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.rows[id]
	if r == nil {
		return Candidate{}, false
	}
	return r.candidate(), true
}

// All returns every group, sorted by id.
func (t *Table) All() []Candidate {
	t.nameHomes(t.live())
	t.mu.RLock()
	defer t.mu.RUnlock()
	found := make([]Candidate, 0, len(t.rows))
	for _, r := range t.rows {
		found = append(found, r.candidate())
	}
	sortCandidates(found)
	return found
}

func (r *row) candidate() Candidate {
	return Candidate{
		Group: r.group, Position: r.position, Home: r.home,
		Status: r.status, ReceivedAt: r.heard, LoadReports: r.reports, WholeSince: r.servingSince,
	}
}

// Len counts the groups.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.rows)
}

func sortCandidates(candidates []Candidate) {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return strings.Compare(string(a.Group.ID), string(b.Group.ID))
	})
}
