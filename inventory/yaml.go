package inventory

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxExpanded is the maximum number of YAML values in one file after expansion of aliases and merge keys.
const maxExpanded = 1 << 20

// yamlFile reads one YAML file.
type yamlFile struct {
	*collector
	file   string
	budget int // remaining values of maxExpanded
}

// readYAML reads one YAML file of any number of documents, each an Ansible inventory or a list under "nodes".
func (c *collector) readYAML(file string, text []byte) {
	y := &yamlFile{collector: c, file: file, budget: maxExpanded}
	dec := yaml.NewDecoder(bytes.NewReader(text))
	documents := 0
	for {
		var doc yaml.Node
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			y.reportSyntax(text, err)
			return
		}
		if len(doc.Content) == 0 || doc.Content[0].Tag == "!!null" {
			continue
		}
		documents++
		before := len(c.problems)
		y.readDocument(doc.Content[0])
		y.checkSchema(doc.Content[0], before)
	}
	if documents == 0 {
		c.problem(Origin{file, 1, 0}, "the file contains no nodes")
	}
}

func (y *yamlFile) at(n *yaml.Node) Origin { return Origin{y.file, max(1, n.Line), n.Column} }

var (
	yamlLine  = regexp.MustCompile(`line (\d+): `)
	yamlAlias = regexp.MustCompile(`^unknown anchor '(.*)' referenced$`)
)

// splitError splits an error of the YAML parser into its text and the line that it names, 1 if none.
func splitError(err error) (what string, line int) {
	what, line = strings.TrimPrefix(err.Error(), "yaml: "), 1
	if m := yamlLine.FindStringSubmatch(what); m != nil {
		line, _ = strconv.Atoi(m[1])
		what = strings.Replace(what, m[0], "", 1)
	}
	return what, line
}

// imprecise matches the parser errors that name a line before the mistake, or none. For "did not find expected" the line
// is counted from 0 and may be that of the start of the list, for tabs it is that of the preceding word, and for unknown
// anchors there is none.
var imprecise = regexp.MustCompile(`^did not find expected (node content|',' or '[}\]]'|'-' indicator|key|<document start>)|tab character|unknown anchor`)

// reportSyntax records a parser error. If its line is imprecise, the mistake is on the last line of the shortest prefix of
// the file that fails with the same error.
func (y *yamlFile) reportSyntax(text []byte, err error) {
	what, from := splitError(err)
	lines := bytes.SplitAfter(text, []byte("\n"))
	from = min(max(from, 1), len(lines))
	n := 0
	if imprecise.MatchString(what) {
		n = sort.Search(len(lines)-from, func(i int) bool {
			err := firstError(bytes.Join(lines[:from+i], nil))
			if err == nil {
				return false
			}
			same, _ := splitError(err)
			return same == what
		})
	}
	at := Origin{y.file, from + n, 0}
	if m := yamlAlias.FindStringSubmatch(what); m != nil {
		at.Column = 1 + bytes.Index(lines[at.Line-1], []byte("*"+m[1]))
	}
	if strings.Contains(what, "cannot start any token") && bytes.ContainsRune(lines[at.Line-1], '\t') {
		what += "; YAML does not allow tabs for indentation"
	}
	y.problem(at, "invalid YAML: %s", what)
}

// firstError returns the first parser error of a YAML text, or nil.
func firstError(text []byte) error {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	for {
		var doc yaml.Node
		if err := dec.Decode(&doc); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

func (y *yamlFile) readDocument(root *yaml.Node) {
	if root.Kind != yaml.MappingNode {
		y.problem(y.at(root), `the top level must be a mapping; put a list of nodes under "nodes:"`)
		return
	}
	pairs := y.pairs(root, 0)
	if i := slices.IndexFunc(pairs, func(p pair) bool { return p.key.Value == "nodes" }); i >= 0 && pairs[i].value.Kind != yaml.MappingNode {
		for _, p := range pairs {
			if p.key.Value != "nodes" {
				y.problem(y.at(p.key), "unknown key %q beside \"nodes\"", p.key.Value)
			}
		}
		y.readList(pairs[i].value)
		return
	}
	newAnsible(y).read(pairs)
}

// pair is a key of a mapping and its value, with aliases resolved.
type pair struct{ key, value *yaml.Node }

// pairs returns the keys and values of a mapping, with merge keys expanded, or nil for other values. Keys of the mapping
// itself precede and override merged ones.
func (y *yamlFile) pairs(n *yaml.Node, depth int) []pair {
	if n = y.follow(n, depth); n == nil || n.Kind != yaml.MappingNode {
		return nil
	}
	var own, merged []pair
	seen := map[string]*yaml.Node{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, v := n.Content[i], n.Content[i+1]
		if y.budget--; y.budget <= 0 {
			if y.budget == 0 {
				y.problem(y.at(key), "aliases and merge keys expand this file to more than %d values", maxExpanded)
			}
			return nil
		}
		if key.Tag == "!!merge" {
			merged = append(merged, y.merge(v, depth+1)...)
			continue
		}
		if key.Kind != yaml.ScalarNode {
			y.problem(y.at(key), "a key must be a single value")
			continue
		}
		if first := seen[key.Value]; first != nil {
			y.problem(y.at(key), "key %q is already set on line %d", key.Value, first.Line)
			continue
		}
		seen[key.Value] = key
		if v = y.follow(v, depth); v != nil {
			own = append(own, pair{key, v})
		}
	}
	for _, p := range merged {
		if seen[p.key.Value] == nil {
			seen[p.key.Value] = p.key
			own = append(own, p)
		}
	}
	return own
}

func (y *yamlFile) merge(v *yaml.Node, depth int) []pair {
	if v = y.follow(v, depth); v == nil {
		return nil
	}
	switch v.Kind {
	case yaml.MappingNode:
		return y.pairs(v, depth)
	case yaml.SequenceNode:
		var all []pair
		for _, item := range v.Content {
			all = append(all, y.pairs(item, depth)...)
		}
		return all
	}
	y.problem(y.at(v), "only mappings can be merged with <<")
	return nil
}

// follow resolves aliases. It records a problem and returns nil if they are circular or deeper than maxDepth levels.
func (y *yamlFile) follow(n *yaml.Node, depth int) *yaml.Node {
	for hops := 0; n.Kind == yaml.AliasNode; hops++ {
		if hops+depth > maxDepth {
			y.problem(y.at(n), "aliases are nested deeper than %d levels", maxDepth)
			return nil
		}
		n = n.Alias
	}
	if depth > maxDepth {
		y.problem(y.at(n), "values are nested deeper than %d levels", maxDepth)
		return nil
	}
	return n
}

// readList reads the nodes of a plain list.
func (y *yamlFile) readList(n *yaml.Node) {
	if n = y.follow(n, 0); n == nil {
		return
	}
	if n.Kind != yaml.SequenceNode {
		y.problem(y.at(n), `"nodes" must be a list`)
		return
	}
	if len(n.Content) == 0 {
		y.problem(y.at(n), "the list contains no nodes")
	}
	for _, item := range n.Content {
		if item = y.follow(item, 0); item == nil {
			continue
		}
		if item.Kind != yaml.MappingNode {
			y.problem(y.at(item), "a node must be a mapping of name, host, port, slice and hall")
			continue
		}
		r := newRawNode(y.at(item))
		for _, p := range y.pairs(item, 0) {
			y.readNodeKey(r, p)
		}
		y.add(r)
	}
}

// fieldAliases maps the names of Ansible variables to fields.
var fieldAliases = map[string]string{"ansible_host": "host", "ansible_port": "port"}

func (y *yamlFile) readNodeKey(r *rawNode, p pair) {
	key := p.key.Value
	if field := fieldAliases[key]; field != "" {
		key = field
	}
	switch {
	case key == "labels":
		y.readLabels(r, p.value)
	case slices.Contains(fields, key):
		y.readField(r, key, p)
	case strings.HasPrefix(key, "ansible_"):
		r.labels[key] = value{y.labelText(p.value), y.at(p.value)}
	default:
		y.problem(y.at(p.key), "unknown key %q%s; put keys of your own under labels", key, suggestion(key, fields))
	}
}

func (y *yamlFile) readField(r *rawNode, field string, p pair) {
	if first, again := r.values[field]; again {
		y.problem(y.at(p.key), "%s is already set on line %d", field, first.at.Line)
		return
	}
	if text, ok := y.scalar(field, p.value); ok {
		r.values[field] = value{text, y.at(p.value)}
	}
}

func (y *yamlFile) readLabels(r *rawNode, n *yaml.Node) {
	if n.Kind != yaml.MappingNode {
		y.problem(y.at(n), "labels must be a mapping")
		return
	}
	for _, p := range y.pairs(n, 0) {
		if text, ok := y.scalar("label "+p.key.Value, p.value); ok {
			r.labels[p.key.Value] = value{text, y.at(p.value)}
		}
	}
}

// Unquoted words that other tools, or older versions of YAML, do not read as strings.
var (
	ambiguousWord   = regexp.MustCompile(`^(?i:y|n|yes|no|on|off|true|false|null|~)$`)
	ambiguousOctal  = regexp.MustCompile(`^[-+]?0[0-9_]+$`)
	ambiguousNumber = regexp.MustCompile(`^[-+]?(0[xXobB][0-9a-fA-F_]+|[0-9][0-9_]*\.?[0-9_]*[eE][-+]?[0-9]+|[0-9]*\.[0-9]+|[0-9]+\.[0-9]*|[0-9]+_[0-9_]+|\.(?i:inf|nan)|[0-9]+(:[0-5]?[0-9])+(\.[0-9]*)?)$`)
)

// scalar returns the text of a field. It records a problem and returns false for a value that is not a scalar, for an
// unquoted word that some tools don't read as a string, and for a quoted port.
func (y *yamlFile) scalar(field string, n *yaml.Node) (string, bool) {
	if n.Kind != yaml.ScalarNode {
		y.problem(y.at(n), "%s must be a single value", field)
		return "", false
	}
	quoted := n.Style&(yaml.SingleQuotedStyle|yaml.DoubleQuotedStyle|yaml.LiteralStyle|yaml.FoldedStyle) != 0
	if quoted && field == "port" {
		y.problem(y.at(n), "port %q is quoted; write the number without quotes", n.Value)
		return "", false
	}
	if quoted {
		return n.Value, true
	}
	why := ""
	switch {
	case n.Value == "" || n.Tag == "!!null":
		why = "null"
	case ambiguousWord.MatchString(n.Value):
		why = "a boolean"
	case ambiguousOctal.MatchString(n.Value):
		why = "an octal number"
	case ambiguousNumber.MatchString(n.Value):
		why = "a number or a time"
	}
	if why != "" {
		y.problem(y.at(n), "%s: some tools read %s as %s; put quotes around it%s", field, strconv.Quote(n.Value), why,
			map[bool]string{true: " or write it in decimal"}[field == "port"])
		return "", false
	}
	return n.Value, true
}

// labelText returns any value as text: a scalar as written, anything else as JSON.
func (y *yamlFile) labelText(n *yaml.Node) string {
	if n.Kind == yaml.ScalarNode {
		return n.Value
	}
	text, err := json.Marshal(y.jsonValue(n, 0))
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(text)
}

// jsonValue converts a YAML value for encoding as JSON and for the validation with Schema.
func (y *yamlFile) jsonValue(n *yaml.Node, depth int) any {
	if n = y.follow(n, depth); n == nil || y.budget <= 0 {
		return nil
	}
	switch n.Kind {
	case yaml.MappingNode:
		m := map[string]any{}
		for _, p := range y.pairs(n, depth+1) {
			m[p.key.Value] = y.jsonValue(p.value, depth+1)
		}
		return m
	case yaml.SequenceNode:
		list := make([]any, 0, len(n.Content))
		for _, item := range n.Content {
			y.budget--
			list = append(list, y.jsonValue(item, depth+1))
		}
		return list
	}
	switch n.Tag {
	case "!!int":
		if i, err := strconv.ParseInt(n.Value, 0, 64); err == nil {
			return json.Number(strconv.FormatInt(i, 10))
		}
	case "!!float":
		if f, err := strconv.ParseFloat(n.Value, 64); err == nil && f-f == 0 {
			return json.Number(strconv.FormatFloat(f, 'g', -1, 64))
		}
	case "!!bool":
		return strings.EqualFold(n.Value, "true")
	case "!!null":
		return nil
	}
	return n.Value
}
