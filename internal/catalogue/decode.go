package catalogue

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Source is a decoded file of entries. It keeps the YAML nodes to find the line
// of a field.
type Source struct {
	File    string
	Entries []Entry
	nodes   []*yaml.Node
}

// Decode reads entries from YAML or JSON: one or more documents, each an entry
// or a list of entries. Unknown fields are errors. It checks each entry, but
// not the references between entries; the error is a FieldErrors with lines.
// file is used in errors only.
func Decode(file string, data []byte) (*Source, error) {
	src := &Source{File: file}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var doc yaml.Node
		err := decoder.Decode(&doc)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, syntaxErrors(file, err)
		}
		src.addDocument(&doc)
	}
	if err := src.decodeNodes(); err != nil {
		return nil, err
	}
	return src, src.validate()
}

// addDocument appends the nodes of one document's entries.
func (s *Source) addDocument(doc *yaml.Node) {
	for _, node := range doc.Content {
		if node.Kind == yaml.SequenceNode {
			s.nodes = append(s.nodes, node.Content...)
			continue
		}
		s.nodes = append(s.nodes, node)
	}
}

func (s *Source) decodeNodes() error {
	var errs FieldErrors
	for _, node := range s.nodes {
		var e Entry
		if node.Kind != yaml.MappingNode {
			errs = append(errs, FieldError{File: s.File, Line: node.Line, Field: "(entry)", Problem: "an entry is a mapping with kind, name and owner"})
			continue
		}
		errs = append(errs, decodeNode(s.File, node, &e)...)
		s.Entries = append(s.Entries, e)
	}
	return errs.orNil()
}

// decodeNode decodes one entry and rejects unknown fields.
func decodeNode(file string, node *yaml.Node, e *Entry) FieldErrors {
	unknown := unknownFields(file, node)
	if len(unknown) > 0 {
		return unknown
	}
	if err := node.Decode(e); err != nil {
		return typeErrors(file, node, e.Key(), err)
	}
	return nil
}

func (s *Source) validate() error {
	var errs FieldErrors
	first := map[Key]int{}
	for i := range s.Entries {
		e := &s.Entries[i]
		var found FieldErrors
		if errors.As(validateEntry(e), &found) {
			errs = append(errs, found...)
		}
		if earlier, ok := first[e.Key()]; ok {
			errs = append(errs, FieldError{File: s.File, Line: s.nodes[i].Line, Entry: e.Key(), Field: "name",
				Problem: fmt.Sprintf("the entry is already on line %d", s.nodes[earlier].Line)})
			continue
		}
		first[e.Key()] = i
	}
	return s.Locate(errs).orNil()
}

// Locate fills in the file and line of errors about entries of this source.
func (s *Source) Locate(errs FieldErrors) FieldErrors {
	for i := range errs {
		if errs[i].Line == 0 {
			s.locate(&errs[i])
		}
	}
	return errs
}

func (s *Source) locate(e *FieldError) {
	for i := range s.Entries {
		if s.Entries[i].Key() == e.Entry {
			e.File = s.File
			e.Line = lineOf(s.nodes[i], e.Field)
			return
		}
	}
}

// lineOf returns the line of a dotted field, or of its innermost parent that
// the file sets.
func lineOf(node *yaml.Node, field string) int {
	line := node.Line
	for _, part := range strings.Split(field, ".") {
		name, index, indexed := cutIndex(part)
		key, value := child(node, name)
		if key == nil {
			return line
		}
		line, node = key.Line, value
		if indexed && node.Kind == yaml.SequenceNode && index < len(node.Content) {
			node = node.Content[index]
			line = node.Line
		}
	}
	return line
}

// cutIndex splits "name[3]" into its name and index.
func cutIndex(part string) (name string, index int, indexed bool) {
	name, rest, indexed := strings.Cut(part, "[")
	if !indexed {
		return part, 0, false
	}
	index, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
	return name, index, err == nil
}

// child returns the key and value nodes of a mapping's field.
func child(node *yaml.Node, name string) (key, value *yaml.Node) {
	if node == nil || node.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i], node.Content[i+1]
		}
	}
	return nil, nil
}
