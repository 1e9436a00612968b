package settings

import (
	"fmt"
	"slices"
)

// Check makes the checks that take more than one value or node: what each value alone can't show. The
// error is Faults, with every fault found.
func (t *Tree) Check() error {
	c := checker{tree: t, paths: t.Paths(), services: make(map[string]bool)}
	for _, path := range c.paths {
		if path.Level() == ServiceLevel {
			c.services[path.Name()] = true
		}
	}
	for _, path := range c.paths {
		c.checkNode(path)
	}
	c.checkUnique(ServiceLevel)
	c.checkUnique(TeamLevel)
	c.checkModels()
	c.checkKeyHashes()
	c.checkShares()
	return c.faults.err()
}

type checker struct {
	tree     *Tree
	paths    []Path
	services map[string]bool
	faults   Faults
}

func (c *checker) add(node Path, key, want, problem string, args ...any) {
	c.faults = append(c.faults, Fault{Node: node, Key: key, Problem: fmt.Sprintf(problem, args...), Expected: want})
}

// addFrom names the node that the value in force comes from, since that is the one to mend.
func (c *checker) addFrom(node Path, name, want, problem string, args ...any) {
	key, _ := LookupKey(name)
	if _, from := c.tree.lookUp(key, node); from != "" {
		node = from
	}
	c.add(node, name, want, problem, args...)
}

func (c *checker) checkNode(path Path) {
	level := path.Level()
	if level == InvalidLevel {
		c.faults = append(c.faults, badPath(path))
		return
	}
	if _, ok := c.tree.Nodes[path.Parent()]; !ok && path.Parent() != Root {
		c.add(path, "", "the node "+string(path.Parent())+", which may be empty", "its place is not declared")
	}
	c.checkRequired(path, level)
	switch level {
	case ServiceLevel:
		c.checkService(path)
	case TeamLevel:
		c.checkTeam(path)
	}
}

func (c *checker) checkRequired(path Path, level Level) {
	for _, key := range keys {
		if !key.Required || key.Levels&level == 0 {
			continue
		}
		value, ok := c.tree.Nodes[path].Values[key.Name]
		if !ok || (key.Kind == ListValue && len(value.List) == 0) {
			c.add(path, key.Name, key.Constraint(), "not set")
		}
	}
}

func (c *checker) checkService(path Path) {
	s := c.tree.service(path)
	if s.Kind == LanguageService {
		c.checkModelSet(path, "model", s.Model)
		c.checkModelSet(path, "model_version", s.ModelVersion)
	}
	if s.Kind == PlainService {
		c.checkModelUnset(path, "model", s.Model)
		c.checkModelUnset(path, "model_version", s.ModelVersion)
	}
	if s.RequestTimeout > s.MaxRequestTimeout {
		c.addFrom(path, "request_timeout", "at most max_request_timeout", "%s is above max_request_timeout, %s",
			s.RequestTimeout, s.MaxRequestTimeout)
	}
	if s.QueueTimeout > s.MaxRequestTimeout {
		c.addFrom(path, "queue_timeout", "at most max_request_timeout", "%s is above max_request_timeout, %s",
			s.QueueTimeout, s.MaxRequestTimeout)
	}
	if s.DowntimeWeight == 0 && s.StrandedWeight == 0 {
		c.addFrom(path, "downtime_weight", "one of downtime_weight and stranded_weight above 0",
			"both weights are 0")
	}
	for _, prefix := range s.Repeatable {
		if slices.Contains(s.Unrepeatable, prefix) {
			c.add(path, "repeatable", "each path in one of the two lists", "%q stands in unrepeatable too", prefix)
		}
	}
}

func (c *checker) checkModelSet(path Path, key, value string) {
	if value == "" {
		c.add(path, key, "text in quotes: "+modelText, "not set, and the service is a language service")
	}
}

func (c *checker) checkModelUnset(path Path, key, value string) {
	if value != "" {
		c.add(path, key, "no such key, or kind: language", "a plain service has no model")
	}
}

func (c *checker) checkTeam(path Path) {
	team := c.tree.team(path)
	for _, service := range team.Services {
		if !c.services[service] {
			c.addFrom(path, "services", "names of declared services", "there is no service %q", service)
		}
	}
}

// checkUnique: callers name a service, and records name a team, without the place.
func (c *checker) checkUnique(level Level) {
	first := make(map[string]Path)
	for _, path := range c.paths {
		if path.Level() != level {
			continue
		}
		if other, ok := first[path.Name()]; ok {
			c.add(path, "", "another name", "there is a %s of this name already: %s", level, other)
			continue
		}
		first[path.Name()] = path
	}
}

// checkModels: a request names a model; which service would it go to if two served it?
func (c *checker) checkModels() {
	first := make(map[string]Path)
	for _, path := range c.paths {
		model := c.tree.Nodes[path].Values["model"].Text
		if model == "" {
			continue
		}
		if other, ok := first[model]; ok {
			c.add(path, "model", "a model that no other service serves", "%q is served by %s already", model, other)
			continue
		}
		first[model] = path
	}
}

// checkKeyHashes: a key must tell one team, and never be an operator's token.
func (c *checker) checkKeyHashes() {
	holder := make(map[string]Path)
	for _, hash := range c.tree.Nodes[Root].Values["operator_key_hashes"].List {
		holder[hash] = Root
	}
	for _, path := range c.paths {
		for _, hash := range c.tree.Nodes[path].Values["key_hashes"].List {
			other, ok := holder[hash]
			if ok && other == Root {
				c.add(path, "key_hashes", "a key of its own", "%s... is an operator's token", hash[:8])
			} else if ok && other != path {
				c.add(path, "key_hashes", "a key of its own", "%s... is a key of %s already", hash[:8], other)
			}
			holder[hash] = path
		}
	}
}

// checkShares: shares that add up to nothing would leave the fair queue nothing to divide by. Each node
// that sets one of them is named.
func (c *checker) checkShares() {
	key, _ := LookupKey("share")
	sum := 0.0
	named := make(map[Path]bool)
	for _, path := range c.paths {
		if path.Level() == TeamLevel {
			value, from := c.tree.lookUp(key, path)
			sum += value.Number
			named[from] = true
		}
	}
	if sum > 0 {
		return
	}
	for path := range named {
		c.add(path, "share", "at least one team with a share above 0", "the shares of all teams add up to nothing")
	}
}
