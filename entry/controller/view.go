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

// probeAll probes every listed VM and every member of a group.
func (r *reconciler) probeAll(ctx context.Context) {
	addresses := r.addresses()
	var mu sync.Mutex // guards results
	results := make(map[vm.Name]probeResult, len(addresses))
	forEachConcurrently(slices.Collect(maps.Keys(addresses)), func(name vm.Name) {
		result := r.probe(ctx, name, addresses[name])
		mu.Lock()
		defer mu.Unlock()
		results[name] = result
	})
	r.probeResults = results
}

func (r *reconciler) addresses() map[vm.Name]string {
	addresses := make(map[vm.Name]string)
	for _, group := range r.placement.Groups {
		for _, member := range group.Members {
			addresses[member.VM] = member.Address
		}
	}
	for _, listed := range r.vmList.VMs {
		addresses[listed.Name] = listed.Address
	}
	return addresses
}

// probe probes a VM. A response counts only if it names that VM, because the address may have been reassigned to
// another one.
func (r *reconciler) probe(ctx context.Context, name vm.Name, address string) probeResult {
	ctx, cancel := context.WithTimeout(ctx, engine.ProbeTimeout)
	defer cancel()
	state, err := r.c.Engines.Probe(ctx, address)
	return probeResult{responded: err == nil && state.VM == name, state: state}
}

// forEachConcurrently calls f for each item, up to maxConcurrentCalls at a time, and waits for all calls.
func forEachConcurrently[T any](items []T, f func(T)) {
	jobs := make(chan T)
	var pool sync.WaitGroup
	for range min(maxConcurrentCalls, len(items)) {
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

func (r *reconciler) now() time.Duration { return r.c.Now().Sub(r.c.startedAt) }

// buildView returns the input of forming.Decide.
func (r *reconciler) buildView() forming.View {
	view := forming.View{
		Domain:      string(r.fabric),
		Services:    r.viewServices(),
		VMs:         r.viewVMs(),
		Groups:      r.viewGroups(r.placement),
		Others:      r.viewOtherDomains(),
		LoadAllowed: r.pacer.Allowed(r.now()),
	}
	r.tracker.Observe(r.now(), &view)
	return view
}

func (r *reconciler) place() domain.Place {
	if len(r.vmList.VMs) > 0 {
		return r.vmList.VMs[0].Position.Place
	}
	return r.placement.Position.Place
}

func (r *reconciler) viewServices() []forming.Service {
	snapshot := r.c.Settings()
	var services []forming.Service
	for _, name := range slices.Sorted(maps.Keys(snapshot.Services)) {
		if s := snapshot.Services[name]; s.Place == r.place() {
			services = append(services, viewService(s))
		}
	}
	return services
}

func viewService(s settings.Service) forming.Service {
	return forming.Service{
		Name: s.Name, Version: versionOf(s.Model, s.ModelVersion), GroupSize: s.GroupSize, Replicas: s.Replicas,
		Spares: s.Spares, Dedicated: s.Kind == settings.PlainService, DowntimeWeight: s.DowntimeWeight,
		StrandedWeight: s.StrandedWeight, LoadsPerMinute: s.LoadsPerMinute, DrainTimeout: s.DrainTimeout,
	}
}

// versionSeparator separates a model's name from its version; it can't be part of the name.
const versionSeparator = "\x00"

func versionOf(model, version string) string { return model + versionSeparator + version }

func (r *reconciler) viewVMs() []forming.VM {
	aside := make(map[vm.Name]vm.SetAsideVM, len(r.placement.Aside))
	for _, a := range r.placement.Aside {
		aside[a.VM] = a
	}
	seen := make(map[vm.Name]bool)
	var found []forming.VM
	for _, listed := range r.vmList.VMs {
		seen[listed.Name] = true
		found = append(found, r.viewVM(listed, aside[listed.Name]))
	}
	for _, group := range r.placement.Groups {
		for _, member := range group.Members {
			if !seen[member.VM] {
				v := r.viewVM(vm.VM{Name: member.VM, Accelerators: member.Accelerators}, vm.SetAsideVM{})
				v.Listed = false
				found = append(found, v)
			}
		}
	}
	return found
}

func (r *reconciler) viewVM(listed vm.VM, aside vm.SetAsideVM) forming.VM {
	result := r.probeResults[listed.Name]
	state := result.state
	v := forming.VM{
		Name: string(listed.Name), Accelerators: listed.Accelerators, DedicatedTo: listed.Service, Listed: true,
		Leaving: listed.Leaving, Responding: result.responded,
	}
	if !result.responded {
		v.Aside = aside.VM != "" && !r.asideExpired(aside)
		return v
	}
	v.Leaving = v.Leaving || state.Leaving
	v.Aside = aside.VM != "" && aside.BootID == state.BootID && !r.asideExpired(aside)
	v.BootID = string(state.BootID)
	v.Group = string(state.Group)
	v.Epoch = state.Epoch
	v.Ready = state.Ready
	v.Running = state.Load.Running + state.Load.Waiting
	v.StepTime = time.Duration(state.Load.StepMicros) * time.Microsecond
	return v
}

func (r *reconciler) asideExpired(a vm.SetAsideVM) bool { return r.c.Now().UnixMilli() >= a.Until }

func (r *reconciler) viewGroups(placement *vm.Placement) []forming.Group {
	found := make([]forming.Group, 0, len(placement.Groups))
	for _, g := range placement.Groups {
		group := r.viewGroup(g)
		for _, m := range g.Members {
			group.Members = append(group.Members, forming.Member{VM: string(m.VM), BootID: string(m.BootID)})
		}
		found = append(found, group)
	}
	return found
}

func (r *reconciler) viewGroup(g vm.Group) forming.Group {
	group := forming.Group{
		ID: string(g.ID), Service: g.Service, Version: versionOf(g.Model, g.ModelVersion),
		Size: len(g.Members), State: forming.State(g.State), Epoch: g.Epoch, NotWhole: g.NotWhole,
		TokenGap: r.c.GroupReports.TokenGap(g.ID),
	}
	whole, known := r.c.GroupReports.Whole(g.ID)
	group.HomeWhole = whole && known
	group.HomeNotWhole = r.c.GroupReports.NotWhole(g.ID)
	group.InProgress, group.HomeReported = r.c.GroupReports.InProgress(g.ID)
	if g.State != vm.Serving && g.State != vm.Draining {
		group.InProgress, group.HomeReported = 0, true
	}
	return group
}

// viewOtherDomains returns the reports of the other fabric domains in the same place.
func (r *reconciler) viewOtherDomains() []forming.Domain {
	var found []forming.Domain
	for _, object := range r.c.Placements.Placements() {
		if object.Name == string(r.fabric) {
			continue
		}
		placement := vm.Placement{}
		if err := json.Unmarshal(object.Value, &placement); err != nil || placement.Position.Place != r.place() {
			continue
		}
		d := forming.Domain{Name: object.Name, Live: placement.LiveByService}
		for _, g := range placement.Groups {
			d.Groups = append(d.Groups, r.viewGroup(g))
		}
		found = append(found, d)
	}
	return found
}
