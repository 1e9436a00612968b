package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/vm"
)

// groupsPerDomain is the number of groups in a fabric domain of 40 VMs.
const groupsPerDomain = 10

// newTable returns a table of groups with four members each, among the given number of entries.
func newTable(tb testing.TB, groups, entries int) *Table {
	live := make([]string, entries)
	for i := range live {
		live[i] = fmt.Sprintf("entry-%03d", i)
	}
	table := New(func() []string { return live }, time.Now)
	for first := 0; first < groups; first += groupsPerDomain {
		placement := vm.Placement{}
		for i := first; i < min(groups, first+groupsPerDomain); i++ {
			placement.Groups = append(placement.Groups, vm.Group{
				ID: vm.GroupID(fmt.Sprintf("chat-%020d", i)), Service: "chat", State: vm.Serving, Members: make([]vm.Member, 4),
			})
		}
		value, err := json.Marshal(placement)
		if err != nil {
			tb.Fatal(err)
		}
		object := platform.Object{Kind: platform.KindPlacement, Name: fmt.Sprint("fabric-", first), Version: 1, Value: value}
		if err := table.ApplyPlacement(object); err != nil {
			tb.Fatal(err)
		}
	}
	return table
}

// BenchmarkTable measures the lookup made by the home role at each vm.ProbeInterval and the lookup made for each
// request.
func BenchmarkTable(b *testing.B) {
	for _, size := range []struct{ groups, entries int }{{53, 13}, {630, 330}, {5000, 330}} {
		table := newTable(b, size.groups, size.entries)
		at := fmt.Sprintf("/groups=%d/entries=%d", size.groups, size.entries)
		b.Run("Homed"+at, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.GroupsHomedAt("entry-007")
			}
		})
		b.Run("Candidate"+at, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Candidate("chat-00000000000000000007")
			}
		})
	}
}
