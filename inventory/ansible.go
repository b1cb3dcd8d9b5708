package inventory

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// ansible reads Ansible's YAML inventory: groups with hosts, children and vars. The variables of a host are
// those of its groups, farther ones first, then by priority and name, and its own last; a later one wins.
type ansible struct {
	*yamlFile
	groups map[string]*ansibleGroup
	hosts  map[string]*ansibleHost
	order  []string // hosts as they were first mentioned
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
	vars   [][]pair // of each mention; later ones win
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
		a.problem(Origin{a.file, 1, 0}, "holds no host; a group has hosts, children or vars under it")
	}
	a.depths()
	for _, name := range a.order {
		a.finish(name, a.hosts[name])
	}
}

var groupKeys = []string{"hosts", "children", "vars"}

func (a *ansible) readGroup(p pair, parent *ansibleGroup, depth int) {
	if depth > maxDepth {
		a.problem(a.at(p.key), "groups are nested deeper than %d", maxDepth)
		return
	}
	g := a.group(p.key.Value)
	if parent != nil && !slices.Contains(g.parents, parent) {
		if g.above(parent, map[*ansibleGroup]bool{}) {
			a.problem(a.at(p.key), "group %q is within itself", g.name)
			return
		}
		g.parents = append(g.parents, parent)
	}
	if p.value.Tag == "!!null" {
		return
	}
	if p.value.Kind != yaml.MappingNode {
		a.problem(a.at(p.value), "group %q wants hosts, children or vars under it%s", g.name, hint(g.name, []string{"nodes"}))
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
			a.problem(a.at(part.key), "unknown key %q in group %q%s", part.key.Value, g.name, hint(part.key.Value, groupKeys))
		}
	}
}

// above tells whether g is the other, or among its ancestors.
func (g *ansibleGroup) above(other *ansibleGroup, seen map[*ansibleGroup]bool) bool {
	if g == other {
		return true
	}
	seen[other] = true
	return slices.ContainsFunc(other.parents, func(p *ansibleGroup) bool { return !seen[p] && g.above(p, seen) })
}

// mapping is what stands under hosts or children: a mapping, or nothing.
func (a *ansible) mapping(p pair) []pair {
	switch {
	case p.value.Tag == "!!null":
		return nil
	case p.value.Kind != yaml.MappingNode:
		a.problem(a.at(p.value), "%s wants a mapping; end each name with a colon", p.key.Value)
		return nil
	}
	return a.pairs(p.value, 0)
}

func (a *ansible) readVars(p pair, g *ansibleGroup) {
	for _, v := range a.mapping(p) {
		if v.key.Value == "ansible_group_priority" {
			n, err := strconv.Atoi(v.value.Value)
			if err != nil {
				a.problem(a.at(v.value), "ansible_group_priority %q is no whole number", v.value.Value)
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
			a.problem(a.at(h.key), "over %d hosts", maxNodes)
			return
		}
		var vars []pair
		if h.value.Tag != "!!null" {
			if h.value.Kind != yaml.MappingNode {
				a.problem(a.at(h.value), "host %q wants variables under it, or nothing", h.key.Value)
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

// depths settles how far each group is from all, by its longest way. No group is within itself.
func (a *ansible) depths() {
	known := map[*ansibleGroup]bool{}
	var settle func(g *ansibleGroup)
	settle = func(g *ansibleGroup) {
		if known[g] {
			return
		}
		known[g] = true
		for _, p := range g.parents {
			settle(p)
			g.depth = max(g.depth, p.depth+1)
		}
	}
	for _, g := range a.groups {
		settle(g)
	}
}

// finish makes a node of a host.
func (a *ansible) finish(name string, h *ansibleHost) {
	within := map[*ansibleGroup]bool{a.groups["all"]: true}
	var climb func(g *ansibleGroup)
	climb = func(g *ansibleGroup) {
		if !within[g] {
			within[g] = true
			for _, p := range g.parents {
				climb(p)
			}
		}
	}
	for _, g := range h.groups {
		climb(g)
	}
	groups := make([]*ansibleGroup, 0, len(within))
	for g := range within {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(x, y *ansibleGroup) int {
		return cmp.Or(cmp.Compare(x.depth, y.depth), cmp.Compare(x.priority, y.priority), cmp.Compare(x.name, y.name))
	})
	vars := map[string]pair{}
	for _, g := range groups {
		a.layer(vars, g.vars, "group "+strconv.Quote(g.name))
	}
	for _, own := range h.vars {
		a.layer(vars, own, "host "+strconv.Quote(name))
	}
	a.node(name, h, vars)
}

// layer puts variables over those that count less. A field has one name in the result, whichever of its names
// a layer used; a layer that uses both contradicts itself.
func (a *ansible) layer(vars map[string]pair, over []pair, whose string) {
	told := map[string]bool{}
	for _, v := range over {
		field := v.key.Value
		if f := aliases[field]; f != "" {
			field = f
		}
		if told[field] && (field == "host" || field == "port") {
			a.problem(a.at(v.key), "%s of %s is told as %s and as ansible_%s", field, whose, field, field)
		}
		told[field] = true
		vars[field] = v
	}
}

func (a *ansible) node(name string, h *ansibleHost, vars map[string]pair) {
	r := newRaw(h.at)
	r.values["name"] = value{name, h.at}
	r.values["host"] = value{name, h.at} // Ansible's own default
	names := make([]string, 0, len(vars))
	for key := range vars {
		names = append(names, key)
	}
	slices.Sort(names)
	for _, key := range names {
		p := vars[key]
		switch {
		case key == "name":
			a.problem(a.at(p.key), "the name of a host is its key; a variable \"name\" can't change it")
		case key == "labels":
			a.labels(r, p.value)
		case slices.Contains(fields, key):
			if text, ok := a.scalar(key, p.value); ok {
				r.values[key] = value{text, a.at(p.value)}
			}
		case !strings.HasPrefix(key, "ansible_") && slip(key, fields):
			a.problem(a.at(p.key), "variable %q is not known%s", key, hint(key, fields))
		default:
			r.labels[key] = value{a.plain(p.value), a.at(p.value)}
		}
	}
	a.add(r)
}

// expand counts out the ranges in a host's name: [01:12], [01:12:2], [a:f].
func expand(name string) ([]string, error) {
	open := strings.IndexByte(name, '[')
	if open < 0 {
		if strings.Contains(name, "]") {
			return nil, fmt.Errorf("host %q closes a range that it does not open", name)
		}
		return []string{name}, nil
	}
	length := strings.IndexByte(name[open:], ']')
	if length < 0 {
		return nil, fmt.Errorf("host %q opens a range and does not close it", name)
	}
	if strings.Contains(name[open+1:open+length], "[") {
		return nil, fmt.Errorf("host %q has a range within a range", name)
	}
	items, err := rangeOf(name[open+1 : open+length])
	if err != nil {
		return nil, fmt.Errorf("host %q: %w", name, err)
	}
	tails, err := expand(name[open+length+1:])
	if err != nil {
		return nil, err
	}
	if len(items)*len(tails) > maxNodes {
		return nil, fmt.Errorf("host %q stands for over %d hosts", name, maxNodes)
	}
	names := make([]string, 0, len(items)*len(tails))
	for _, item := range items {
		for _, tail := range tails {
			names = append(names, name[:open]+item+tail)
		}
	}
	return names, nil
}

func rangeOf(text string) ([]string, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 2 && len(parts) != 3 {
		return nil, fmt.Errorf("range [%s] is not FROM:TO or FROM:TO:STEP", text)
	}
	step := 1
	if len(parts) == 3 {
		n, err := strconv.Atoi(parts[2])
		if err != nil || n < 1 {
			return nil, fmt.Errorf("range [%s]: step %q is no whole number above 0", text, parts[2])
		}
		step = n
	}
	from, to := parts[0], parts[1]
	if len(from) == 1 && len(to) == 1 && letter(from[0]) && letter(to[0]) {
		var items []string
		for ch := int(from[0]); ch <= int(to[0]); ch += step {
			if letter(byte(ch)) {
				items = append(items, string(rune(ch)))
			}
		}
		return items, none(items, text)
	}
	if from == "" {
		from = "0" // as Ansible has it
	}
	first, err1 := strconv.ParseUint(from, 10, 31)
	last, err2 := strconv.ParseUint(to, 10, 31)
	if err1 != nil || err2 != nil {
		return nil, fmt.Errorf("range [%s] has neither two numbers nor two letters", text)
	}
	width := 0
	if len(from) > 1 && from[0] == '0' {
		if width = len(from); len(to) != width {
			return nil, fmt.Errorf("range [%s]: with leading zeros both ends need as many digits", text)
		}
	}
	if last >= first && (last-first)/uint64(step) >= maxNodes {
		return nil, fmt.Errorf("range [%s] stands for over %d hosts", text, maxNodes)
	}
	var items []string
	for n := first; n <= last; n += uint64(step) {
		items = append(items, fmt.Sprintf("%0*d", width, n))
	}
	return items, none(items, text)
}

func none(items []string, text string) error {
	if len(items) == 0 {
		return fmt.Errorf("range [%s] ends before it begins", text)
	}
	return nil
}

func letter(ch byte) bool { return 'a' <= ch && ch <= 'z' || 'A' <= ch && ch <= 'Z' }
