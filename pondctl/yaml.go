package pondctl

import (
	"bytes"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/skylarkpond/skylarkpond/contract/settings"
)

// encodeDeclaration encodes values as a declaration file. Comments and the order of keys in the old file are kept; new
// keys are appended in the order of settings.Keys.
func encodeDeclaration(old []byte, values settings.Values) ([]byte, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(old, &document); err != nil || len(document.Content) != 1 || document.Content[0].Kind != yaml.MappingNode {
		// The old file is empty, or is not a YAML mapping whose keys could be kept.
		document = yaml.Node{Kind: yaml.DocumentNode, HeadComment: document.HeadComment, Content: []*yaml.Node{{Kind: yaml.MappingNode}}}
	}
	mapping := document.Content[0]
	set, err := keepKeys(mapping, values)
	if err != nil {
		return nil, err
	}
	for _, key := range settings.Keys() {
		value, ok := values[key.Name]
		if !ok || set[key.Name] {
			continue
		}
		node, err := encodeValue(value)
		if err != nil {
			return nil, err
		}
		mapping.Content = append(mapping.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: key.Name}, node)
	}
	return encodeDocument(&document, mapping)
}

func encodeDocument(document, mapping *yaml.Node) ([]byte, error) {
	if len(mapping.Content) == 0 {
		return []byte("# Sets nothing of its own.\n"), nil
	}
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(document); err != nil {
		return nil, eris.Wrap(err, "encode a declaration")
	}
	return out.Bytes(), nil
}

// keepKeys removes the keys that are not in values, replaces the values that differ, and returns the keys that the
// mapping then has.
func keepKeys(mapping *yaml.Node, values settings.Values) (map[string]bool, error) {
	set := make(map[string]bool)
	kept := make([]*yaml.Node, 0, len(mapping.Content))
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		key, item := mapping.Content[i], mapping.Content[i+1]
		value, ok := values[key.Value]
		if !ok || set[key.Value] {
			continue
		}
		set[key.Value] = true
		node, err := encodeValue(value)
		if err != nil {
			return nil, err
		}
		if !sameYAML(item, node) {
			node.LineComment = item.LineComment
			item = node
		}
		kept = append(kept, key, item)
	}
	mapping.Content = kept
	return set, nil
}

func encodeValue(value settings.Value) (*yaml.Node, error) {
	node := new(yaml.Node)
	if err := node.Encode(value.Native()); err != nil {
		return nil, eris.Wrap(err, "encode a value")
	}
	if node.Kind == yaml.SequenceNode {
		node.Style = yaml.FlowStyle
	}
	return node, nil
}

func sameYAML(a, b *yaml.Node) bool {
	if a.Kind != b.Kind || a.ShortTag() != b.ShortTag() || a.Value != b.Value || len(a.Content) != len(b.Content) {
		return false
	}
	for i := range a.Content {
		if !sameYAML(a.Content[i], b.Content[i]) {
			return false
		}
	}
	return true
}
