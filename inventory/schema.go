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

// Schema is the JSON Schema of one YAML document of an inventory, for editors. Parse validates documents with it too.
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

// checkSchema validates a document with Schema. Lines that already have a problem get no further one; first is the index
// of the document's first problem.
func (y *yamlFile) checkSchema(root *yaml.Node, first int) {
	s, err := compiled()
	if err != nil {
		y.problem(y.at(root), "internal error: the inventory schema does not compile: %v", err)
		return
	}
	reported := map[int]bool{}
	for _, p := range y.problems[first:] {
		reported[p.Line] = true
	}
	var failed *jsonschema.ValidationError
	if y.budget <= 0 || !errors.As(s.Validate(y.jsonValue(root, 0)), &failed) {
		return
	}
	for _, leaf := range leaves(failed) {
		n := y.locate(root, leaf.InstanceLocation)
		if !reported[n.Line] {
			reported[n.Line] = true
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

// locate returns the value at path below n, or its nearest existing ancestor.
func (y *yamlFile) locate(n *yaml.Node, path []string) *yaml.Node {
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
