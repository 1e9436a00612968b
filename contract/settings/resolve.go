package settings

// EffectiveValue is a resolved value of a node, together with the node that sets it.
type EffectiveValue struct {
	Key   string `json:"key"`
	Value Value  `json:"value"`
	// From is the node that sets the value; empty for the built-in default.
	From Path   `json:"from,omitempty"`
	Doc  string `json:"doc,omitempty"`
}

// UnmarshalJSON decodes the value by the type of its key.
func (e *EffectiveValue) UnmarshalJSON(data []byte) error {
	var raw struct {
		Key   string `json:"key"`
		Value any    `json:"value"`
		From  Path   `json:"from"`
		Doc   string `json:"doc"`
	}
	if err := decodeStrict(data, &raw); err != nil {
		return err
	}
	*e = EffectiveValue{Key: raw.Key, From: raw.From, Doc: raw.Doc}
	key, ok := LookupKey(raw.Key)
	if !ok {
		return Faults{{Key: raw.Key, Problem: "unknown key"}}
	}
	var problem string
	if e.Value, problem = key.convert(raw.Value); problem != "" {
		return Faults{{Key: raw.Key, Problem: problem, Expected: key.Constraint()}}
	}
	return nil
}

// Explain returns the effective values of a node in the order of Keys, each with the node that sets it:
// the nearest one that sets the key among the node and its ancestors. ok is false if the tree has no such
// node; the root always exists.
func (t *Tree) Explain(path Path) (explained []EffectiveValue, ok bool) {
	if _, ok := t.Nodes[path]; !ok && path != Root {
		return nil, false
	}
	for _, key := range keys {
		if key.Levels&path.Level() == 0 {
			continue
		}
		value, from := t.lookup(key, path)
		explained = append(explained, EffectiveValue{Key: key.Name, Value: value, From: from, Doc: key.Doc})
	}
	return explained, true
}

// lookup returns the value of a key at a node and the node that sets it. It walks from path up to the
// root; the nearest node that sets the key wins. If none does, it returns the default and an empty path.
func (t *Tree) lookup(key *Key, path Path) (Value, Path) {
	for {
		if value, ok := t.Nodes[path].Values[key.Name]; ok {
			return value, path
		}
		if path == Root {
			return key.Default, ""
		}
		path = path.Parent()
	}
}

// Resolve validates the whole tree and returns it as a Snapshot with the given platform version. The error
// is of type Faults.
func (t *Tree) Resolve(version uint64) (*Snapshot, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	snapshot := t.snapshot()
	snapshot.Version = version
	snapshot.BuildIndex()
	return snapshot, nil
}

// snapshot resolves the root settings and every service and team.
func (t *Tree) snapshot() *Snapshot {
	snapshot := &Snapshot{Services: make(map[string]Service), Teams: make(map[string]Team)}
	t.resolveRoot(snapshot)
	for path := range t.Nodes {
		switch path.Level() {
		case ServiceLevel:
			snapshot.Services[path.Name()] = t.service(path)
		case TeamLevel:
			snapshot.Teams[path.Name()] = t.team(path)
		}
	}
	return snapshot
}

func (t *Tree) resolveRoot(snapshot *Snapshot) {
	for _, key := range keys {
		if key.setRoot != nil {
			value, _ := t.lookup(key, Root)
			key.setRoot(snapshot, value)
		}
	}
}

func (t *Tree) service(path Path) Service {
	service := Service{Name: path.Name(), Place: path.Place()}
	for _, key := range keys {
		if key.setService != nil {
			value, _ := t.lookup(key, path)
			key.setService(&service, value)
		}
	}
	return service
}

func (t *Tree) team(path Path) Team {
	team := Team{Name: path.Name()}
	for _, key := range keys {
		if key.setTeam != nil {
			value, _ := t.lookup(key, path)
			key.setTeam(&team, value)
		}
	}
	return team
}
