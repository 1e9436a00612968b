package lint

import (
	"net"
	"slices"
	"strings"

	"github.com/skylarkpond/skylarkpond/contract/route"
	"github.com/skylarkpond/skylarkpond/policy/capacity"
)

func (c *checker) checkRoutes() {
	type match struct{ host, prefix string }
	last := make(map[match]int)
	for i, r := range c.config.Routes {
		last[match{strings.ToLower(r.Host), r.PathPrefix}] = i
	}
	for i, r := range c.config.Routes {
		path, streaming := element(".Routes", i), r.Kind == route.Streaming
		other := last[match{strings.ToLower(r.Host), r.PathPrefix}]
		c.errorIf(other != i, path, "never matches: a later route, %q, has the same host and prefix", c.config.Routes[other].Name)
		_, _, err := net.SplitHostPort(r.Host)
		c.errorIf(err == nil || strings.ContainsAny(r.Host, "*/ "), path+".Host", "never matches: hosts are compared whole and without a port")
		c.warnIf(r.Host == "", path+".Host", "is empty: only requests that name no host match")
		c.errorIf(!strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"), path+".PathPrefix",
			"never matches: it must begin and end with a slash")
		c.errorIf(r.Timeout == 0, path+".Timeout", "is 0 or not set: every request times out at once")
		c.warnIf(r.Timeout > 0 && r.Timeout < r.LatencyTarget, path+".Timeout", "%s is below the latency target of %s", r.Timeout, r.LatencyTarget)
		c.warnIf(r.Timeout > 0 && r.Timeout < r.EventGapTarget, path+".EventGapTarget", "%s is above the time-out of %s", r.EventGapTarget, r.Timeout)
		c.warnIf(r.EventGapTarget > 0 && !streaming, path+".EventGapTarget", "has no effect: only streams have events")
		c.warnIf(r.Resumable && !streaming, path+".Resumable", "has no effect: only streams are resumed")
		c.warnIf(r.Resumable && streaming && r.MaxAttempts <= 1, path+".MaxAttempts", "streams are never resumed: that takes a second attempt")
		c.warnIf(!r.Public && len(c.config.Teams) == 0, path+".Public", "the route is open to callers without a key all the same: no team has any")
		c.checkTargets(path+".Targets", r.Targets)
	}
}

func (c *checker) checkTargets(path string, targets []route.Target) {
	sum := 0.0
	for _, target := range targets {
		sum += target.Weight
	}
	c.errorIf(sum <= 0, path, "the weights sum to 0: the last service gets every request")
	for i, target := range targets {
		known := slices.ContainsFunc(c.config.Services, func(s route.Service) bool { return s.Name == target.Service })
		c.errorIf(target.Service != "" && !known, element(path, i)+".Service", "there is no service %q", target.Service)
		c.warnIf(sum > 0 && target.Weight == 0, element(path, i)+".Weight", "is 0: service %q gets no requests of this route", target.Service)
	}
}

func (c *checker) checkServices() {
	named := make(map[string]bool)
	for _, r := range c.config.Routes {
		for _, target := range r.Targets {
			named[target.Service] = true
		}
	}
	for i, service := range c.config.Services {
		path, cold := element(".Services", i), service.ColdPerSecond
		c.warnIf(!named[service.Name], path, "no route names the service: it gets no requests")
		c.warnIf(cold > 0 && service.ColdTime == 0, path+".ColdPerSecond", "has no time: it holds only while servers say themselves that they are cold")
		c.warnIf(cold == 0 && service.ColdTime > 0, path+".ColdTime", "has no effect: no rate is set for cold servers")
		if service.Engine != nil {
			c.checkEngine(path, service, service.Engine)
		}
	}
}

func (c *checker) checkEngine(path string, service route.Service, engine *route.Engine) {
	at := path + ".Engine"
	c.errorIf(engine.Slots == 0, at+".Slots", "is 0 or not set: groups get no requests")
	c.errorIf(engine.LoadsPerSecond == 0, at+".LoadsPerSecond", "is 0 or not set: no group loads weights once there is traffic")
	c.errorIf(engine.LoadsAtOnce == 0, at+".LoadsAtOnce", "is 0 or not set: no group loads weights once there is traffic")
	c.warnIf(len(engine.Models) == 0, at+".Models", "no models: the servers are used like those of a plain service")
	c.warnIf(service.MaxConns > 0 && service.MaxConns < engine.Slots, path+".MaxConns",
		"%d is below the %d slots of a group, which can then not all be in use", service.MaxConns, engine.Slots)
	size := capacity.RequestSize{PromptTokens: engine.MeanPromptTokens, OutputTokens: engine.MeanAnswerTokens}
	shares, fastest := 0.0, 0.0
	for i, model := range engine.Models {
		c.errorIf(model.Size == 0, element(at+".Models", i)+".Size", "is 0 or not set: no group of the model is formed")
		shares += model.DemandShare
		fastest = max(fastest, engine.Capacity(model).Rate(size))
	}
	c.warnIf(shares > 1+1e-6, at+".Models", "the shares sum to %.3g, above 1", shares)
	c.warnIf(fastest > 0 && service.ColdPerSecond > fastest, path+".ColdPerSecond",
		"%.3g a second limits nothing: a full group serves %.3g mean requests a second", service.ColdPerSecond, fastest)
}

func (c *checker) checkTeams() {
	owners := make(map[string]int)
	for i, team := range c.config.Teams {
		path := element(".Teams", i)
		c.warnIf(len(team.Keys) == 0, path, "has no keys: no request belongs to it")
		for j, key := range team.Keys {
			owner, taken := owners[key]
			at := element(path+".Keys", j)
			c.errorIf(key == "", at, "is empty: callers without a key are let in as %q", team.Name)
			c.errorIf(taken && owner != i, at, "the key is %q's too: its requests count as %q's", c.config.Teams[owner].Name, team.Name)
			c.warnIf(taken && owner == i, at, "the key stands twice")
			owners[key] = i
		}
	}
}
