package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/skylarkpond/skylarkpond/platform"
	"github.com/skylarkpond/skylarkpond/platform/standin/operator"
)

const (
	// configApply is configApplyMs: the time in which a version is in force at all machines in touch.
	configApply = 2 * time.Second
	// strangeKey is a key that no configuration holds.
	strangeKey = "never-held"
	// askedPerEntry is the number of requests with each key that each entry is sent in a step.
	askedPerEntry = 5
)

// lastTenant judges ROUTE: no request runs whose key no configuration ever held. The routes of the deployment are not public.
func lastTenant(r *rig, trouble bool) (broken bool) {
	for range 3 {
		r.start(true)
	}
	await(20*time.Second, "all entries are ready, and each names three", func() bool { return r.allNamed(3) })
	ran := r.sendKeyed("version 1, one tenant with one key")
	if trouble {
		version2 := r.config(2)
		version2.Teams = []operator.Team{{Name: "one", Keys: []string{}}}
		r.write(version2, "the tenant's last key is taken away")
		ran += r.sendKeyed("version 2")
		version3 := r.config(3)
		version3.Teams = []operator.Team{}
		r.write(version3, "the tenant, which has no key any more, is removed: \"tenants\": []")
	} else {
		r.write(r.config(2), "nothing but the version changes")
	}
	ran += r.sendKeyed("the last version")
	r.note("%d requests with a key that no configuration ever held were run by servers", ran)
	return ran > 0
}

// write writes a version and waits until it has to be in force.
func (r *rig) write(config operator.Config, what string) {
	operator.Write(r.api, config)
	r.note("version %d is acknowledged: %s", config.Version, what)
	time.Sleep(configApply + time.Second)
}

// sendKeyed sends requests with the tenant's key, with one that was never held and with none, and returns how many of the latter two ran.
func (r *rig) sendKeyed(step string) (ran int) {
	for _, e := range r.running() {
		for _, key := range []string{tenantKey, strangeKey, ""} {
			for i := range askedPerEntry {
				id := fmt.Sprintf("v-%s-%s-%d-%d", e.name, key, i, time.Now().UnixNano())
				status, err := sendWithKey(e.callers, id, key)
				server := r.ranAt(id)
				r.note("%s: %s, key %q: status %d %v, run by [%s]", step, e.name, key, status, err, server)
				if key == strangeKey && server != "" {
					ran++
				}
			}
		}
	}
	return ran
}

func sendWithKey(address, id, key string) (status int, err error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/look/x", nil)
	must(err)
	request.Host = "h.example"
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, "2500")
	if key != "" {
		request.Header.Set(platform.HeaderKey, key)
	}
	response, err := shortClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// ranAt returns the server that has run a request; empty if none has.
func (r *rig) ranAt(id string) string {
	for _, server := range r.servers {
		for _, run := range server.Runs() {
			if run.ID == id {
				return server.ID()
			}
		}
	}
	return ""
}
