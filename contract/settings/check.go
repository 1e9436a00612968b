package settings

import (
	"fmt"
	"slices"
)

// Check runs the checks that span several values or nodes and that ParseTree cannot make on a single
// value. The error is a Faults that holds every fault found.
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

func (c *checker) addFault(node Path, key, expected, problem string, args ...any) {
	c.faults = append(c.faults, Fault{Node: node, Key: key, Problem: fmt.Sprintf(problem, args...), Expected: expected})
}

// addFaultAtSource reports a fault at the node that sets the effective value of the key, because that is
// where to correct it. For a built-in default it reports the given node.
func (c *checker) addFaultAtSource(node Path, name, expected, problem string, args ...any) {
	key, _ := LookupKey(name)
	if _, from := c.tree.lookup(key, node); from != "" {
		node = from
	}
	c.addFault(node, name, expected, problem, args...)
}

func (c *checker) checkNode(path Path) {
	level := path.Level()
	if level == InvalidLevel {
		c.faults = append(c.faults, invalidPathFault(path))
		return
	}
	if _, ok := c.tree.Nodes[path.Parent()]; !ok && path.Parent() != Root {
		c.addFault(path, "", "the node "+string(path.Parent())+", which may be empty", "its place is not declared")
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
			c.addFault(path, key.Name, key.Constraint(), "not set")
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
		c.addFaultAtSource(path, "request_timeout", "at most max_request_timeout", "%s is above max_request_timeout, %s",
			s.RequestTimeout, s.MaxRequestTimeout)
	}
	if s.QueueTimeout > s.MaxRequestTimeout {
		c.addFaultAtSource(path, "queue_timeout", "at most max_request_timeout", "%s is above max_request_timeout, %s",
			s.QueueTimeout, s.MaxRequestTimeout)
	}
	if s.DowntimeWeight == 0 && s.StrandedWeight == 0 {
		c.addFaultAtSource(path, "downtime_weight", "one of downtime_weight and stranded_weight above 0",
			"both weights are 0")
	}
	for _, prefix := range s.Repeatable {
		if slices.Contains(s.Unrepeatable, prefix) {
			c.addFault(path, "repeatable", "each path in one of the two lists", "%q stands in unrepeatable too", prefix)
		}
	}
}

func (c *checker) checkModelSet(path Path, key, value string) {
	if value == "" {
		c.addFault(path, key, "text in quotes: "+modelDescription, "not set, and the service is a language service")
	}
}

func (c *checker) checkModelUnset(path Path, key, value string) {
	if value != "" {
		c.addFault(path, key, "no such key, or kind: language", "a plain service has no model")
	}
}

func (c *checker) checkTeam(path Path) {
	team := c.tree.team(path)
	for _, service := range team.Services {
		if !c.services[service] {
			c.addFaultAtSource(path, "services", "names of declared services", "there is no service %q", service)
		}
	}
}

// checkUnique checks that names are unique across places: callers refer to a service, and records to a
// team, by name without the place.
func (c *checker) checkUnique(level Level) {
	first := make(map[string]Path)
	for _, path := range c.paths {
		if path.Level() != level {
			continue
		}
		if other, ok := first[path.Name()]; ok {
			c.addFault(path, "", "another name", "there is a %s of this name already: %s", level, other)
			continue
		}
		first[path.Name()] = path
	}
}

// checkModels checks that no two services serve the same model. Requests are routed by model name, which
// would be ambiguous.
func (c *checker) checkModels() {
	first := make(map[string]Path)
	for _, path := range c.paths {
		model := c.tree.Nodes[path].Values["model"].Text
		if model == "" {
			continue
		}
		if other, ok := first[model]; ok {
			c.addFault(path, "model", "a model that no other service serves", "%q is served by %s already", model, other)
			continue
		}
		first[model] = path
	}
}

// checkKeyHashes checks that each key identifies a single team and is not an operator token.
func (c *checker) checkKeyHashes() {
	owner := make(map[string]Path)
	for _, hash := range c.tree.Nodes[Root].Values["operator_key_hashes"].List {
		owner[hash] = Root
	}
	for _, path := range c.paths {
		for _, hash := range c.tree.Nodes[path].Values["key_hashes"].List {
			other, ok := owner[hash]
			if ok && other == Root {
				c.addFault(path, "key_hashes", "a key of its own", "%s... is an operator's token", hash[:8])
			} else if ok && other != path {
				c.addFault(path, "key_hashes", "a key of its own", "%s... is a key of %s already", hash[:8], other)
			}
			owner[hash] = path
		}
	}
}

// checkShares checks that the shares of all teams do not sum to zero, because the fair queue divides by
// the sum. It reports each node that sets one of the shares.
func (c *checker) checkShares() {
	key, _ := LookupKey("share")
	sum := 0.0
	sources := make(map[Path]bool)
	for _, path := range c.paths {
		if path.Level() == TeamLevel {
			value, from := c.tree.lookup(key, path)
			sum += value.Number
			sources[from] = true
		}
	}
	if sum > 0 {
		return
	}
	for path := range sources {
		c.addFault(path, "share", "at least one team with a share above 0", "the shares of all teams add up to nothing")
	}
}
