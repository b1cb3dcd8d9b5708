package inventory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// randomSet returns a random set of nodes in up to three slices.
func randomSet(rng *rand.Rand) *Set {
	s := &Set{}
	for sl := range 1 + rng.IntN(3) {
		slice := []string{"news", "guestbook", "notices of the east", "7"}[(sl+rng.IntN(2))%4]
		if slices.ContainsFunc(s.Nodes, func(n Node) bool { return n.Slice == slice }) {
			continue
		}
		for m := range 1 + rng.IntN(5) {
			n := Node{Name: fmt.Sprintf("db%d-%02d", sl, m), Host: fmt.Sprintf("10.%d.0.%d", sl, m+1), Port: 5432 + rng.IntN(3), Slice: slice,
				Zone: []string{"reykjavik-a", "hafnarfjordur-b"}[rng.IntN(2)], State: Ready, Labels: map[string]string{}}
			if rng.IntN(4) == 0 {
				n.Host = fmt.Sprintf("%s.db.example", n.Name)
			}
			if m > 0 && rng.IntN(5) == 0 {
				n.State = []State{Draining, Removed}[rng.IntN(2)]
			}
			if rng.IntN(3) == 0 {
				n.Started = time.Date(2026, 3, 1, 6, rng.IntN(60), 0, 0, time.UTC)
			}
			if rng.IntN(3) == 0 {
				n.Labels["rack"] = []string{"r1", "r 2", "líka", `a "b"`, "x,y;z"}[rng.IntN(5)]
			}
			s.Nodes = append(s.Nodes, n)
		}
	}
	s.sort()
	return s
}

// fieldTexts returns a node's fields as text, by the name of their CSV column.
func fieldTexts(n *Node) map[string]string {
	m := map[string]string{"name": n.Name, "host": n.Host, "port": strconv.Itoa(n.Port), "slice": n.Slice, "hall": n.Zone, "state": string(n.State)}
	if !n.Started.IsZero() {
		m["started"] = n.Started.Format(time.RFC3339)
	}
	for k, v := range n.Labels {
		m["label:"+k] = v
	}
	return m
}

// writeCSV writes a set in one of the many ways of spreadsheets and tools. lines are the line numbers of its nodes.
func writeCSV(rng *rand.Rand, s *Set) (text string, lines []int) {
	columns := []string{"name", "host", "port", "slice", "hall", "state", "started", "label:rack"}
	rng.Shuffle(len(columns), func(i, j int) { columns[i], columns[j] = columns[j], columns[i] })
	sep, eol := []string{",", ";", "\t"}[rng.IntN(3)], []string{"\n", "\r\n"}[rng.IntN(2)]
	header := slices.Clone(columns)
	for i, c := range header {
		switch rng.IntN(4) {
		case 0:
			header[i] = strings.ToUpper(c[:1]) + c[1:]
		case 1:
			if c == "host" || c == "port" {
				header[i] = "ansible_" + c
			}
		}
		if strings.HasPrefix(c, "label:") {
			header[i] = c
		}
	}
	tail := strings.Repeat(sep, rng.IntN(3))
	var b strings.Builder
	if rng.IntN(3) == 0 {
		b.WriteString("\ufeff")
	}
	line := 1
	writeLine := func(t string) { b.WriteString(t + eol); line += 1 + strings.Count(t, "\n") }
	if rng.IntN(3) == 0 {
		writeLine("# made by a tool, do not edit")
	}
	writeLine(strings.Join(header, sep) + tail)
	for i := range s.Nodes {
		if rng.IntN(6) == 0 {
			writeLine("# a comment")
		}
		c := fieldTexts(&s.Nodes[i])
		row := make([]string, len(columns))
		for k, col := range columns {
			row[k] = c[col]
			if strings.ContainsAny(row[k], ",;\t\"\n") || rng.IntN(5) == 0 && row[k] != "" {
				row[k] = `"` + strings.ReplaceAll(row[k], `"`, `""`) + `"`
			}
			if (col == "state" && row[k] == "ready" || col == "port" && row[k] == "5432") && rng.IntN(2) == 0 {
				row[k] = ""
			}
		}
		lines = append(lines, line)
		writeLine(strings.Join(row, sep) + tail)
	}
	return b.String(), lines
}

// scalarText writes a value in a form that every tool reads as this string.
func scalarText(rng *rand.Rand, field, v string) string {
	if field == "port" {
		return v
	}
	plain := strings.IndexFunc(v, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-')
	}) < 0 &&
		strings.Trim(v, "0123456789") != ""
	switch k := rng.IntN(3); {
	case plain && k == 0:
		return v
	case k == 1:
		return "'" + strings.ReplaceAll(v, "'", "''") + "'"
	}
	return strconv.Quote(v)
}

// writeList writes a set as a plain YAML list. lines are the line numbers of its nodes.
func writeList(rng *rand.Rand, s *Set) (text string, lines []int) {
	var b strings.Builder
	line := 1
	writeLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...); line++ }
	if rng.IntN(2) == 0 {
		writeLine("---")
	}
	writeLine("nodes:")
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if rng.IntN(6) == 0 {
			writeLine("  # a comment")
		}
		c := fieldTexts(n)
		delete(c, "label:rack")
		keys := make([]string, 0, len(c))
		for k := range c {
			if k == "state" && c[k] == "ready" && rng.IntN(2) == 0 || k == "port" && c[k] == "5432" && rng.IntN(2) == 0 {
				continue
			}
			keys = append(keys, k)
		}
		slices.Sort(keys)
		rng.Shuffle(len(keys), func(a, b int) { keys[a], keys[b] = keys[b], keys[a] })
		lines = append(lines, line)
		if rng.IntN(3) == 0 {
			var parts []string
			for _, k := range keys {
				parts = append(parts, k+": "+scalarText(rng, k, c[k]))
			}
			if n.Labels["rack"] != "" {
				parts = append(parts, "labels: {rack: "+strconv.Quote(n.Labels["rack"])+"}")
			}
			writeLine("  - {%s}", strings.Join(parts, ", "))
			continue
		}
		mark := "- "
		for _, k := range keys {
			key := k
			if (k == "host" || k == "port") && rng.IntN(4) == 0 {
				key = "ansible_" + k
			}
			writeLine("  %s%s: %s", mark, key, scalarText(rng, k, c[k]))
			mark = "  "
		}
		if n.Labels["rack"] != "" {
			writeLine("    labels:")
			writeLine("      rack: %s", strconv.Quote(n.Labels["rack"]))
		}
	}
	return b.String(), lines
}

// writeAnsible writes a set as Ansible's inventory, with the slice as a variable of the group. lines are the line numbers
// of its nodes.
func writeAnsible(rng *rand.Rand, s *Set) (text string, lines []int) {
	var b strings.Builder
	line := 1
	writeLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...); line++ }
	writeLine("all:")
	if rng.IntN(2) == 0 {
		writeLine("  vars:")
		writeLine("    ansible_user: operator")
		writeLine("    hall: nowhere") // overridden by every host
	}
	writeLine("  children:")
	lines = make([]int, len(s.Nodes))
	bySlice := map[string][]int{}
	var order []string
	for i, n := range s.Nodes {
		if bySlice[n.Slice] == nil {
			order = append(order, n.Slice)
		}
		bySlice[n.Slice] = append(bySlice[n.Slice], i)
	}
	for k, slice := range order {
		writeLine("    group%d:", k)
		writeLine("      vars:")
		writeLine("        slice: %s", strconv.Quote(slice))
		writeLine("      hosts:")
		for _, i := range bySlice[slice] {
			n := &s.Nodes[i]
			lines[i] = line
			writeLine("        %s:", n.Name)
			writeLine("          hall: %s", scalarText(rng, "hall", n.Zone))
			if n.Host != n.Name {
				writeLine("          %s: %s", []string{"host", "ansible_host"}[rng.IntN(2)], scalarText(rng, "host", n.Host))
			}
			if n.Port != 5432 || rng.IntN(2) == 0 {
				writeLine("          %s: %d", []string{"port", "ansible_port"}[rng.IntN(2)], n.Port)
			}
			if n.State != Ready || rng.IntN(3) == 0 {
				writeLine("          state: %s", n.State)
			}
			if !n.Started.IsZero() {
				writeLine("          started: %s", strconv.Quote(n.Started.Format(time.RFC3339)))
			}
			if n.Labels["rack"] != "" {
				writeLine("          rack: %s", strconv.Quote(n.Labels["rack"]))
			}
		}
	}
	if rng.IntN(2) == 0 { // hosts listed again, in a group without variables
		writeLine("watched:")
		writeLine("  hosts:")
		for _, n := range s.Nodes[:1+rng.IntN(len(s.Nodes))] {
			writeLine("    %s:", n.Name)
		}
	}
	return b.String(), lines
}

type form struct {
	name  string
	write func(*rand.Rand, *Set) (string, []int)
}

var forms = []form{{"inv.csv", writeCSV}, {"inv.yaml", writeList}, {"inv.yml", writeAnsible}}

// removeToolLabels removes the label that comes from Ansible's own variable.
func removeToolLabels(s *Set) *Set {
	for i := range s.Nodes {
		delete(s.Nodes[i].Labels, "ansible_user")
	}
	return s
}

// TestWellFormed writes 300 random sets in three formats each, with random variations of style. Parse must return the
// same set.
func TestWellFormed(t *testing.T) {
	for seed := range uint64(300) {
		for _, f := range forms {
			rng := rand.New(rand.NewPCG(seed, 1))
			want := randomSet(rng)
			text, _ := f.write(rng, want)
			got, err := Parse([]File{{f.name, []byte(text)}}, Options{})
			if err != nil {
				t.Fatalf("seed %d:\n%s\n%v", seed, text, err)
			}
			if !removeToolLabels(got).Equal(want) {
				t.Fatalf("seed %d: different nodes\n%s\ngot  %+v\nwant %+v", seed, text, got, want)
			}
		}
	}
}

// TestSeveralFiles splits sets over files of all formats.
func TestSeveralFiles(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 2))
		want := randomSet(rng)
		parts := make([]Set, 3)
		for _, n := range want.Nodes {
			p := &parts[rng.IntN(3)]
			p.Nodes = append(p.Nodes, n)
		}
		var files []File
		for i, p := range parts {
			if len(p.Nodes) > 0 {
				text, _ := forms[i].write(rng, &p)
				files = append(files, File{fmt.Sprintf("%d-%s", i, forms[i].name), []byte(text)})
			}
		}
		got, err := Parse(files, Options{})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !removeToolLabels(got).Equal(want) {
			t.Fatalf("seed %d: different nodes", seed)
		}
	}
}

// mutation damages a correct file.
type mutation struct {
	name string
	// apply returns the damaged text and the line that a problem must name; ok is false if the mutation does not apply.
	apply func(rng *rand.Rand, text string, lines []int, s *Set) (damaged string, line int, ok bool)
}

// replaceOnLine replaces the first occurrence of old on or after line. It returns the text and the changed line.
func replaceOnLine(text string, line int, old, new string) (string, int, bool) {
	all := strings.SplitAfter(text, "\n")
	for i := line - 1; i < len(all); i++ {
		if strings.Contains(all[i], old) {
			all[i] = strings.Replace(all[i], old, new, 1)
			return strings.Join(all, ""), i + 1, true
		}
	}
	return "", 0, false
}

var mutations = []mutation{
	{"NUL", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		return replaceOnLine(text, lines[rng.IntN(len(lines))], "d", "d\x00")
	}},
	{"not UTF-8", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		return replaceOnLine(text, lines[rng.IntN(len(lines))], "d", "d\xe9")
	}},
	{"merge conflict", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		line := lines[rng.IntN(len(lines))]
		all := strings.SplitAfter(text, "\n")
		return strings.Join(slices.Insert(all, line-1, "<<<<<<< HEAD\n"), ""), line, true
	}},
	{"unknown state", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		for _, st := range []string{"draining", "gone"} {
			if damaged, line, ok := replaceOnLine(text, 2, st, "drianing"); ok {
				return damaged, line, true
			}
		}
		return "", 0, false
	}},
	{"port out of range", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		for _, p := range []string{"5433", "5434"} {
			if damaged, line, ok := replaceOnLine(text, 2, p, "99999"); ok {
				return damaged, line, true
			}
		}
		return "", 0, false
	}},
	{"duplicate name", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		if len(s.Nodes) < 2 || strings.Contains(text, "\n    group0:") || strings.Contains(text, "children:") {
			return "", 0, false
		}
		a, b := s.Nodes[0].Name, s.Nodes[len(s.Nodes)-1].Name
		if strings.Count(text, b) != 1 && !strings.Contains(s.Nodes[len(s.Nodes)-1].Host, b) {
			return "", 0, false
		}
		damaged := strings.ReplaceAll(text, b, a)
		return damaged, lines[len(lines)-1], damaged != text && !strings.Contains(s.Nodes[0].Host, a)
	}},
	{"bad time", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		return replaceOnLine(text, 2, "2026-03-01T", "2026-13-01T")
	}},
	{"bad address", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		return replaceOnLine(text, 2, "10.0.0.", "10.0.0.999")
	}},
	{"unknown hall", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		return replaceOnLine(text, 2, "reykjavik-a", "reykjavik-c")
	}},
	{"unknown field", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		for _, f := range []string{"Hall", "hall"} {
			if damaged, line, ok := replaceOnLine(text, 1, f, "hal"); ok {
				return damaged, line, true
			}
		}
		return "", 0, false
	}},
	{"unclosed quote", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		if !strings.Contains(strings.ToLower(strings.SplitN(text, "\n", 3)[0]+strings.SplitN(text+"\n\n", "\n", 3)[1]), "started") {
			return "", 0, false // only for CSV
		}
		line := lines[len(lines)-1]
		all := strings.SplitAfter(text, "\n")
		all[line-1] = `"` + strings.ReplaceAll(all[line-1], `"`, "")
		return strings.Join(all, ""), line, true
	}},
	{"boolean", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		return replaceOnLine(text, 2, "state: draining", "state: no")
	}},
	{"octal port", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		return replaceOnLine(text, 2, "port: 5433", "port: 05433")
	}},
	{"port as text", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		return replaceOnLine(text, 2, "port: 5433", `port: "5433"`)
	}},
	{"float", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		return replaceOnLine(text, 2, "port: 5434", "port: 1e3")
	}},
	{"tab", func(rng *rand.Rand, text string, lines []int, s *Set) (string, int, bool) {
		return replaceOnLine(text, 2, "          hall:", "\t  hall:")
	}},
}

// TestMalformed damages correct files in at least 600 ways. Parse must refuse every one and name the damaged line.
func TestMalformed(t *testing.T) {
	count, byName := 0, map[string]int{}
	for seed := range uint64(150) {
		for _, f := range forms {
			for _, m := range mutations {
				rng := rand.New(rand.NewPCG(seed, 3))
				s := randomSet(rng)
				text, lines := f.write(rng, s)
				damaged, line, ok := m.apply(rng, text, lines, s)
				if !ok {
					continue
				}
				count++
				byName[m.name]++
				_, err := Parse([]File{{f.name, []byte(damaged)}}, Options{Zones: []string{"reykjavik-a", "hafnarfjordur-b", "nowhere"}})
				problems, _ := err.(Problems)
				if !slices.ContainsFunc(problems, func(p Problem) bool { return p.Line == line }) {
					t.Fatalf("seed %d, %s, %s: line %d is not named:\n%v\n%s", seed, f.name, m.name, line, err, damaged)
				}
			}
		}
	}
	for _, m := range mutations {
		if byName[m.name] < 5 {
			t.Errorf("%s was tried %d times", m.name, byName[m.name])
		}
	}
	if count < 600 {
		t.Errorf("only %d malformed files", count)
	}
}
