package main

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// setFields applies FIELD=VALUE assignments, with dotted field names, to the YAML
// text of an entry.
func setFields(text []byte, assignments []string) ([]byte, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	for _, assignment := range assignments {
		field, value, ok := strings.Cut(assignment, "=")
		if !ok || field == "" {
			return nil, fmt.Errorf("%q is not FIELD=VALUE, for example limits.concurrent=20", assignment)
		}
		var node yaml.Node
		if err := yaml.Unmarshal([]byte(value), &node); err != nil || len(node.Content) != 1 {
			return nil, fmt.Errorf("%s: %q is not a YAML value", field, value)
		}
		if err := setField(doc.Content[0], strings.Split(field, "."), node.Content[0]); err != nil {
			return nil, fmt.Errorf("%s: %w", field, err)
		}
	}
	return encodeYAML(&doc)
}

// setField sets the field at path and creates missing mappings along the path.
func setField(node *yaml.Node, path []string, value *yaml.Node) error {
	if node.Kind != yaml.MappingNode {
		return fmt.Errorf("%q is not below a mapping", path[0])
	}
	child := mappingValue(node, path[0])
	if child == nil {
		child = &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"}
		node.Content = append(node.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: path[0]}, child)
	}
	if len(path) == 1 {
		*child = *value
		return nil
	}
	return setField(child, path[1:], value)
}

// mappingValue returns the value node of a field, or nil.
func mappingValue(node *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i+1]
		}
	}
	return nil
}
