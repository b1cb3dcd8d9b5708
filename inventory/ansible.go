package inventory

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// ansible reads Ansible's YAML inventory: groups with hosts, children and vars. A host has the variables of its groups
// and its own. A deeper group overrides a shallower one; of two at the same depth, the one with the higher priority
// overrides the other, and then the later by name. A host's own variables override all.
type ansible struct {
	*yamlFile
	groups map[string]*ansibleGroup
	hosts  map[string]*ansibleHost
	order  []string // host names in the order of first mention
}

type ansibleGroup struct {
	name     string
	parents  []*ansibleGroup
	vars     []pair
	priority int
	depth    int
}

type ansibleHost struct {
	at     Origin
	groups []*ansibleGroup
	vars   [][]pair // one entry per mention; later ones override earlier ones
}

func newAnsible(y *yamlFile) *ansible {
	return &ansible{yamlFile: y, groups: map[string]*ansibleGroup{}, hosts: map[string]*ansibleHost{}}
}

func (a *ansible) group(name string) *ansibleGroup {
	g := a.groups[name]
	if g == nil {
		g = &ansibleGroup{name: name, priority: 1}
		a.groups[name] = g
	}
	return g
}

func (a *ansible) read(pairs []pair) {
	all := a.group("all")
	for _, p := range pairs {
		var parent *ansibleGroup
		if p.key.Value != "all" {
			parent = all
		}
		a.readGroup(p, parent, 0)
	}
	if len(a.hosts) == 0 {
		a.problem(Origin{a.file, 1, 0}, "the file contains no hosts; a group needs hosts, children or vars under it")
	}
	a.setDepths()
	for _, name := range a.order {
		a.buildNode(name, a.hosts[name])
	}
}

var groupKeys = []string{"hosts", "children", "vars"}

func (a *ansible) readGroup(p pair, parent *ansibleGroup, depth int) {
	if depth > maxDepth {
		a.problem(a.at(p.key), "groups are nested deeper than %d levels", maxDepth)
		return
	}
	g := a.group(p.key.Value)
	if parent != nil && !slices.Contains(g.parents, parent) {
		if g.isAncestorOf(parent, map[*ansibleGroup]bool{}) {
			a.problem(a.at(p.key), "group %q contains itself", g.name)
			return
		}
		g.parents = append(g.parents, parent)
	}
	if p.value.Tag == "!!null" {
		return
	}
	if p.value.Kind != yaml.MappingNode {
		a.problem(a.at(p.value), "group %q must be a mapping of hosts, children or vars%s", g.name, suggestion(g.name, []string{"nodes"}))
		return
	}
	for _, part := range a.pairs(p.value, 0) {
		switch part.key.Value {
		case "hosts":
			a.readHosts(part, g)
		case "children":
			for _, child := range a.mapping(part) {
				a.readGroup(child, g, depth+1)
			}
		case "vars":
			a.readVars(part, g)
		default:
			a.problem(a.at(part.key), "unknown key %q in group %q%s", part.key.Value, g.name, suggestion(part.key.Value, groupKeys))
		}
	}
}

// isAncestorOf reports whether g is other or one of its ancestors.
func (g *ansibleGroup) isAncestorOf(other *ansibleGroup, seen map[*ansibleGroup]bool) bool {
	if g == other {
		return true
	}
	seen[other] = true
	return slices.ContainsFunc(other.parents, func(p *ansibleGroup) bool { return !seen[p] && g.isAncestorOf(p, seen) })
}

// mapping returns the pairs of a value that must be a mapping or empty.
func (a *ansible) mapping(p pair) []pair {
	switch {
	case p.value.Tag == "!!null":
		return nil
	case p.value.Kind != yaml.MappingNode:
		a.problem(a.at(p.value), "%s must be a mapping; end each name with a colon", p.key.Value)
		return nil
	}
	return a.pairs(p.value, 0)
}

func (a *ansible) readVars(p pair, g *ansibleGroup) {
	for _, v := range a.mapping(p) {
		if v.key.Value == "ansible_group_priority" {
			n, err := strconv.Atoi(v.value.Value)
			if err != nil {
				a.problem(a.at(v.value), "ansible_group_priority %q is not a whole number", v.value.Value)
			}
			g.priority = n
			continue
		}
		g.vars = append(g.vars, v)
	}
}

func (a *ansible) readHosts(p pair, g *ansibleGroup) {
	for _, h := range a.mapping(p) {
		names, err := expand(h.key.Value)
		if err != nil {
			a.problem(a.at(h.key), "%v", err)
			continue
		}
		if len(a.hosts)+len(names) > maxNodes {
			a.problem(a.at(h.key), "more than %d hosts in the file", maxNodes)
			return
		}
		var vars []pair
		if h.value.Tag != "!!null" {
			if h.value.Kind != yaml.MappingNode {
				a.problem(a.at(h.value), "host %q must have a mapping of variables under it, or nothing", h.key.Value)
				continue
			}
			vars = a.pairs(h.value, 0)
		}
		for _, name := range names {
			host := a.hosts[name]
			if host == nil {
				host = &ansibleHost{at: a.at(h.key)}
				a.hosts[name] = host
				a.order = append(a.order, name)
			}
			if !slices.Contains(host.groups, g) {
				host.groups = append(host.groups, g)
			}
			host.vars = append(host.vars, vars)
		}
	}
}

// setDepths sets the depth of each group, the length of its longest path from all. The groups have no cycles.
func (a *ansible) setDepths() {
	known := map[*ansibleGroup]bool{}
	var visit func(g *ansibleGroup)
	visit = func(g *ansibleGroup) {
		if known[g] {
			return
		}
		known[g] = true
		for _, p := range g.parents {
			visit(p)
			g.depth = max(g.depth, p.depth+1)
		}
	}
	for _, g := range a.groups {
		visit(g)
	}
}

// buildNode merges the variables of a host's groups and of the host, and adds the node.
func (a *ansible) buildNode(name string, h *ansibleHost) {
	memberOf := map[*ansibleGroup]bool{a.groups["all"]: true}
	var addAncestors func(g *ansibleGroup)
	addAncestors = func(g *ansibleGroup) {
		if !memberOf[g] {
			memberOf[g] = true
			for _, p := range g.parents {
				addAncestors(p)
			}
		}
	}
	for _, g := range h.groups {
		addAncestors(g)
	}
	groups := make([]*ansibleGroup, 0, len(memberOf))
	for g := range memberOf {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(x, y *ansibleGroup) int {
		return cmp.Or(cmp.Compare(x.depth, y.depth), cmp.Compare(x.priority, y.priority), cmp.Compare(x.name, y.name))
	})
	vars := map[string]pair{}
	for _, g := range groups {
		a.override(vars, g.vars, "group "+strconv.Quote(g.name))
	}
	for _, own := range h.vars {
		a.override(vars, own, "host "+strconv.Quote(name))
	}
	a.addNode(name, h, vars)
}

// override sets the variables of owner, a group or a host, in vars. Aliases are replaced by the name of their field; it
// is a problem if an owner sets host or port under both names.
func (a *ansible) override(vars map[string]pair, over []pair, owner string) {
	seen := map[string]bool{}
	for _, v := range over {
		field := v.key.Value
		if f := fieldAliases[field]; f != "" {
			field = f
		}
		if seen[field] && (field == "host" || field == "port") {
			a.problem(a.at(v.key), "%s of %s is set both as %s and as ansible_%s", field, owner, field, field)
		}
		seen[field] = true
		vars[field] = v
	}
}

func (a *ansible) addNode(name string, h *ansibleHost, vars map[string]pair) {
	r := newRawNode(h.at)
	r.values["name"] = value{name, h.at}
	r.values["host"] = value{name, h.at} // the default in Ansible
	names := make([]string, 0, len(vars))
	for key := range vars {
		names = append(names, key)
	}
	slices.Sort(names)
	for _, key := range names {
		p := vars[key]
		switch {
		case key == "name":
			a.problem(a.at(p.key), "a host is named by its key; a variable \"name\" can't change it")
		case key == "labels":
			a.readLabels(r, p.value)
		case slices.Contains(fields, key):
			if text, ok := a.scalar(key, p.value); ok {
				r.values[key] = value{text, a.at(p.value)}
			}
		case !strings.HasPrefix(key, "ansible_") && misspelled(key, fields):
			a.problem(a.at(p.key), "unknown variable %q%s", key, suggestion(key, fields))
		default:
			r.labels[key] = value{a.labelText(p.value), a.at(p.value)}
		}
	}
	a.add(r)
}

// expand returns the names for a host name with any number of ranges, such as [01:12], [01:12:2] or [a:f].
func expand(name string) ([]string, error) {
	open := strings.IndexByte(name, '[')
	if open < 0 {
		if strings.Contains(name, "]") {
			return nil, fmt.Errorf("host %q has ] without [", name)
		}
		return []string{name}, nil
	}
	length := strings.IndexByte(name[open:], ']')
	if length < 0 {
		return nil, fmt.Errorf("host %q has [ without ]", name)
	}
	if strings.Contains(name[open+1:open+length], "[") {
		return nil, fmt.Errorf("host %q has a range inside a range", name)
	}
	items, err := expandRange(name[open+1 : open+length])
	if err != nil {
		return nil, fmt.Errorf("host %q: %w", name, err)
	}
	suffixes, err := expand(name[open+length+1:])
	if err != nil {
		return nil, err
	}
	if len(items)*len(suffixes) > maxNodes {
		return nil, fmt.Errorf("host %q expands to more than %d hosts", name, maxNodes)
	}
	names := make([]string, 0, len(items)*len(suffixes))
	for _, item := range items {
		for _, tail := range suffixes {
			names = append(names, name[:open]+item+tail)
		}
	}
	return names, nil
}

func expandRange(text string) ([]string, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 2 && len(parts) != 3 {
		return nil, fmt.Errorf("range [%s] is not FROM:TO or FROM:TO:STEP", text)
	}
	step := 1
	if len(parts) == 3 {
		n, err := strconv.Atoi(parts[2])
		if err != nil || n < 1 {
			return nil, fmt.Errorf("range [%s]: step %q is not a whole number above 0", text, parts[2])
		}
		step = n
	}
	from, to := parts[0], parts[1]
	if len(from) == 1 && len(to) == 1 && isLetter(from[0]) && isLetter(to[0]) {
		var items []string
		for ch := int(from[0]); ch <= int(to[0]); ch += step {
			if isLetter(byte(ch)) {
				items = append(items, string(rune(ch)))
			}
		}
		return items, checkNotEmpty(items, text)
	}
	if from == "" {
		from = "0" // the default in Ansible
	}
	first, err1 := strconv.ParseUint(from, 10, 31)
	last, err2 := strconv.ParseUint(to, 10, 31)
	if err1 != nil || err2 != nil {
		return nil, fmt.Errorf("range [%s] must have two numbers or two letters as its ends", text)
	}
	width := 0
	if len(from) > 1 && from[0] == '0' {
		if width = len(from); len(to) != width {
			return nil, fmt.Errorf("range [%s]: with leading zeros, both ends must have the same number of digits", text)
		}
	}
	if last >= first && (last-first)/uint64(step) >= maxNodes {
		return nil, fmt.Errorf("range [%s] expands to more than %d hosts", text, maxNodes)
	}
	var items []string
	for n := first; n <= last; n += uint64(step) {
		items = append(items, fmt.Sprintf("%0*d", width, n))
	}
	return items, checkNotEmpty(items, text)
}

func checkNotEmpty(items []string, text string) error {
	if len(items) == 0 {
		return fmt.Errorf("range [%s] ends before it begins", text)
	}
	return nil
}

func isLetter(ch byte) bool { return 'a' <= ch && ch <= 'z' || 'A' <= ch && ch <= 'Z' }
