package inventory

import (
	"bytes"
	_ "embed"
	"errors"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the JSON Schema of one YAML document, for editors. Read checks by it too.
//
//go:embed schema.json
var Schema []byte

var compiled = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	const id = "https://umberladder.invalid/inventory.schema.json"
	if err := c.AddResource(id, doc); err != nil {
		return nil, err
	}
	return c.Compile(id)
})

// schema checks a document by the published schema. What the readers have named already, from problem number
// first on, is not said again for the same line.
func (y *yamlFile) schema(root *yaml.Node, first int) {
	s, err := compiled()
	if err != nil {
		y.problem(y.at(root), "the schema itself: %v", err)
		return
	}
	said := map[int]bool{}
	for _, p := range y.problems[first:] {
		said[p.Line] = true
	}
	var failed *jsonschema.ValidationError
	if y.left <= 0 || !errors.As(s.Validate(y.generic(root, 0)), &failed) {
		return
	}
	for _, leaf := range leaves(failed) {
		n := y.find(root, leaf.InstanceLocation)
		if !said[n.Line] {
			said[n.Line] = true
			y.problem(y.at(n), "%s: %s", strings.Join(leaf.InstanceLocation, "."), leaf.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
		}
	}
}

func leaves(e *jsonschema.ValidationError) (all []*jsonschema.ValidationError) {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	for _, c := range e.Causes {
		all = append(all, leaves(c)...)
	}
	return all
}

// find is the value at a place that the schema names, or the nearest above it.
func (y *yamlFile) find(n *yaml.Node, path []string) *yaml.Node {
	for _, step := range path {
		if n = y.follow(n, 0); n == nil {
			break
		}
		next := (*yaml.Node)(nil)
		switch n.Kind {
		case yaml.SequenceNode:
			if i, err := strconv.Atoi(step); err == nil && i < len(n.Content) {
				next = n.Content[i]
			}
		case yaml.MappingNode:
			for i := 0; i+1 < len(n.Content); i += 2 {
				if n.Content[i].Value == step {
					next = n.Content[i+1]
				}
			}
		}
		if next == nil {
			return n
		}
		n = next
	}
	return n
}
