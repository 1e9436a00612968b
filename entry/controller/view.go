package controller

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/skylarkpond/skylarkpond/contract/settings"
	"github.com/skylarkpond/skylarkpond/domain"
	"github.com/skylarkpond/skylarkpond/link/engine"
	"github.com/skylarkpond/skylarkpond/policy/forming"
	"github.com/skylarkpond/skylarkpond/vm"
)

// probeAll asks every listed VM and every member how it is.
func (w *work) probeAll(ctx context.Context) {
	addresses := w.addresses()
	var mu sync.Mutex // guards states
	states := make(map[vm.Name]probed, len(addresses))
	each(slices.Collect(maps.Keys(addresses)), func(name vm.Name) {
		answer := w.probe(ctx, name, addresses[name])
		mu.Lock()
		defer mu.Unlock()
		states[name] = answer
	})
	w.states = states
}

func (w *work) addresses() map[vm.Name]string {
	addresses := make(map[vm.Name]string)
	for _, group := range w.placement.Groups {
		for _, member := range group.Members {
			addresses[member.VM] = member.Address
		}
	}
	for _, listed := range w.list.VMs {
		addresses[listed.Name] = listed.Address
	}
	return addresses
}

// probe returns an answer that names the VM that was asked: an address may have been given to another.
func (w *work) probe(ctx context.Context, name vm.Name, address string) probed {
	ctx, cancel := context.WithTimeout(ctx, engine.ProbeTimeout)
	defer cancel()
	state, err := w.c.Engines.Probe(ctx, address)
	return probed{ok: err == nil && state.VM == name, state: state}
}

// each calls f for every item, by a few workers, and waits for all.
func each[T any](items []T, f func(T)) {
	jobs := make(chan T)
	var pool sync.WaitGroup
	for range min(probers, len(items)) {
		pool.Go(func() {
			for item := range jobs {
				f(item)
			}
		})
	}
	for _, item := range items {
		jobs <- item
	}
	close(jobs)
	pool.Wait()
}

func (w *work) now() time.Duration { return w.c.Now().Sub(w.c.start) }

// view puts together what the decision sees.
func (w *work) view() forming.View {
	view := forming.View{
		Domain:      string(w.fabric),
		Services:    w.services(),
		VMs:         w.viewVMs(),
		Groups:      w.viewGroups(w.placement),
		Others:      w.others(),
		LoadAllowed: w.pacer.Allowed(w.now()),
	}
	w.tracker.Observe(w.now(), &view)
	return view
}

func (w *work) place() domain.Place {
	if len(w.list.VMs) > 0 {
		return w.list.VMs[0].Position.Place
	}
	return w.placement.Position.Place
}

func (w *work) services() []forming.Service {
	snapshot := w.c.Settings()
	var services []forming.Service
	for _, name := range slices.Sorted(maps.Keys(snapshot.Services)) {
		if s := snapshot.Services[name]; s.Place == w.place() {
			services = append(services, viewService(s))
		}
	}
	return services
}

func viewService(s settings.Service) forming.Service {
	return forming.Service{
		Name: s.Name, Version: versionOf(s.Model, s.ModelVersion), GroupSize: s.GroupSize, Replicas: s.Replicas,
		Spares: s.Spares, Dedicated: s.Kind == settings.Plain, DowntimeWeight: s.DowntimeWeight,
		StrandedWeight: s.StrandedWeight, LoadsPerMinute: s.LoadsPerMinute, DrainTimeout: s.DrainTimeout,
	}
}

// versionSeparator can't be part of a model's name.
const versionSeparator = "\x00"

func versionOf(model, version string) string { return model + versionSeparator + version }

func (w *work) viewVMs() []forming.VM {
	aside := make(map[vm.Name]vm.Aside, len(w.placement.Aside))
	for _, a := range w.placement.Aside {
		aside[a.VM] = a
	}
	seen := make(map[vm.Name]bool)
	var found []forming.VM
	for _, listed := range w.list.VMs {
		seen[listed.Name] = true
		found = append(found, w.viewVM(listed, aside[listed.Name]))
	}
	for _, group := range w.placement.Groups {
		for _, member := range group.Members {
			if !seen[member.VM] {
				v := w.viewVM(vm.VM{Name: member.VM, Accelerators: member.Accelerators}, vm.Aside{})
				v.Listed = false
				found = append(found, v)
			}
		}
	}
	return found
}

func (w *work) viewVM(listed vm.VM, aside vm.Aside) forming.VM {
	answer := w.states[listed.Name]
	state := answer.state
	v := forming.VM{
		Name: string(listed.Name), Accelerators: listed.Accelerators, DedicatedTo: listed.Service, Listed: true,
		Leaving: listed.Leaving, Responding: answer.ok,
	}
	if !answer.ok {
		v.Aside = aside.VM != "" && !w.asideOver(aside)
		return v
	}
	v.Leaving = v.Leaving || state.Leaving
	v.Aside = aside.VM != "" && aside.BootID == state.BootID && !w.asideOver(aside)
	v.BootID = string(state.BootID)
	v.Group = string(state.Group)
	v.Epoch = state.Epoch
	v.Ready = state.Ready
	v.Running = state.Load.Running + state.Load.Waiting
	v.StepTime = time.Duration(state.Load.StepMicros) * time.Microsecond
	return v
}

func (w *work) asideOver(a vm.Aside) bool { return w.c.Now().UnixMilli() >= a.Until }

func (w *work) viewGroups(placement *vm.Placement) []forming.Group {
	found := make([]forming.Group, 0, len(placement.Groups))
	for _, g := range placement.Groups {
		group := w.viewGroup(g)
		for _, m := range g.Members {
			group.Members = append(group.Members, forming.Member{VM: string(m.VM), BootID: string(m.BootID)})
		}
		found = append(found, group)
	}
	return found
}

func (w *work) viewGroup(g vm.Group) forming.Group {
	group := forming.Group{
		ID: string(g.ID), Service: g.Service, Version: versionOf(g.Model, g.ModelVersion),
		Size: len(g.Members), State: forming.State(g.State), Epoch: g.Epoch, NotWhole: g.NotWhole,
		TokenGap: w.c.Loads.TokenGap(g.ID),
	}
	whole, known := w.c.Loads.Whole(g.ID)
	group.HomeWhole = whole && known
	group.HomeNotWhole = w.c.Loads.NotWhole(g.ID)
	group.InProgress, group.HomeReported = w.c.Loads.InProgress(g.ID)
	if g.State != vm.Serving && g.State != vm.Draining {
		group.InProgress, group.HomeReported = 0, true
	}
	return group
}

// others returns what the other fabric domains of the place report.
func (w *work) others() []forming.Domain {
	var found []forming.Domain
	for _, object := range w.c.Placements.Placements() {
		if object.Name == string(w.fabric) {
			continue
		}
		placement := vm.Placement{}
		if err := json.Unmarshal(object.Value, &placement); err != nil || placement.Position.Place != w.place() {
			continue
		}
		d := forming.Domain{Name: object.Name, Live: placement.LiveByService}
		for _, g := range placement.Groups {
			d.Groups = append(d.Groups, w.viewGroup(g))
		}
		found = append(found, d)
	}
	return found
}
