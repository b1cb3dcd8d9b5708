package inventory

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func parseOne(name, text string, o Options) (*Set, error) {
	return Parse([]File{{name, []byte(text)}}, o)
}

// TestAnsible checks Ansible's rules: ranges, inheritance, precedence, several groups for one host.
func TestAnsible(t *testing.T) {
	set, err := parseOne("inv.yml", `
all:
  vars: {hall: north, ansible_user: op, rack: r0}
  hosts:
    "odd[1:5:2]": {slice: notices}
  children:
    news:
      vars: {slice: news, ansible_port: 5433}
      children:
        news_south:
          vars: {hall: south}
          hosts:
            db[08:10]:
            "x[a:b]-[1:2]":
        news_north:
          hosts:
            db01: {ansible_host: 10.0.0.1, port: 6000, rack: r9}
guestbook:
  vars: {slice: guestbook}
  hosts:
    gb1:
watched:
  hosts:
    db01:
    gb1: {state: draining}
`, Options{})
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, n := range set.Nodes {
		got[n.Name] = fmt.Sprintf("%s %s %s %s rack=%s", n.Address(), n.Slice, n.Zone, n.State, n.Labels["rack"])
	}
	want := map[string]string{
		"odd1": "odd1:5432 notices north ready rack=r0", "odd3": "odd3:5432 notices north ready rack=r0", "odd5": "odd5:5432 notices north ready rack=r0",
		"db08": "db08:5433 news south ready rack=r0", "db09": "db09:5433 news south ready rack=r0", "db10": "db10:5433 news south ready rack=r0",
		"xa-1": "xa-1:5433 news south ready rack=r0", "xa-2": "xa-2:5433 news south ready rack=r0",
		"xb-1": "xb-1:5433 news south ready rack=r0", "xb-2": "xb-2:5433 news south ready rack=r0",
		"db01": "10.0.0.1:6000 news north ready rack=r9", "gb1": "gb1:5432 guestbook north draining rack=r0",
	}
	for name, w := range want {
		if got[name] != w {
			t.Errorf("%s: %q, want %q", name, got[name], w)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d nodes: %v", len(got), got)
	}
}

// TestPriority checks that among groups of one depth the higher priority wins, then the later name.
func TestPriority(t *testing.T) {
	for priority, want := range map[int]string{1: "zeta", 5: "alpha"} {
		set, err := parseOne("i.yml", fmt.Sprintf("alpha:\n  vars: {slice: alpha, ansible_group_priority: %d}\n  hosts: {a: }\nzeta:\n  vars: {slice: zeta}\n  hosts: {a: }\n", priority), Options{})
		if err != nil || set.Nodes[0].Slice != want {
			t.Errorf("priority %d: %+v, %v", priority, set, err)
		}
	}
}

// TestAnchorsMergesAndDocuments checks anchors, merge keys and files of several documents.
func TestAnchorsMergesAndDocuments(t *testing.T) {
	set, err := parseOne("i.yaml", `
nodes:
  - &base {name: a, host: h1, slice: s, hall: north, labels: {rack: r1}}
  - {<<: *base, name: b, host: h2}
  - <<: [{hall: south}, *base]
    name: c
    host: h3
---
nodes:
  - {name: d, host: h4, slice: s}
`, Options{})
	if err != nil || len(set.Nodes) != 4 || set.Nodes[1].Labels["rack"] != "r1" || set.Nodes[2].Zone != "south" {
		t.Fatalf("%+v, %v", set, err)
	}
}

// TestMistakes checks the position and the message of each mistake.
func TestMistakes(t *testing.T) {
	const head = "nodes:\n  - name: a\n    host: h\n    slice: s\n"
	for _, c := range []struct{ file, text, want string }{
		{"i.yaml", "", "i.yaml:1: the file is empty"},
		{"i.yaml", "# nothing\n", "the file contains no nodes"},
		{"i.yaml", "nodes: []\n", "i.yaml:1:8: the list contains no nodes"},
		{"i.yaml", "- name: a\n", `put a list of nodes under "nodes:"`},
		{"i.yaml", "nodes:\n\t- name: a\n", "i.yaml:2"},
		{"i.yaml", head + "    prot: 5432\n", `i.yaml:5:5: unknown key "prot"; did you mean "port"?`},
		{"i.yaml", head + "    slice: t\n", `i.yaml:5:5: key "slice" is already set on line 4`},
		{"i.yaml", head + "    hall: no\n", "i.yaml:5:11: hall: some tools read \"no\" as a boolean"},
		{"i.yaml", head + "    hall: 010\n", "an octal number"},
		{"i.yaml", head + "    hall: 1e3\n", "a number or a time"},
		{"i.yaml", head + "    hall: 1.10\n", "a number or a time"},
		{"i.yaml", head + "    hall: 12:30:45\n", "a number or a time"},
		{"i.yaml", head + "    hall: ~\n", "some tools read \"~\" as null"},
		{"i.yaml", head + "    port: \"5432\"\n", `port "5432" is quoted`},
		{"i.yaml", head + "    port: 0\n", "is not a plain number from 1 to 65535"},
		{"i.yaml", head + "    state: [ready]\n", "state must be a single value"},
		{"i.yaml", head + "    started: yesterday\n", "not an RFC 3339 time"},
		{"i.yaml", head + "    ansible_host: x\n", "i.yaml:5:5: host is already set on line 3"},
		{"i.yaml", head + "extra: 1\n", `i.yaml:5:1: unknown key "extra" beside "nodes"`},
		{"i.yaml", head + "  - name: a\n    host: h2\n    slice: s\n", `i.yaml:5:5: node "a" is already defined at i.yaml:2:5`},
		{"i.yaml", head + "  - name: b\n    host: H\n    slice: s\n", `address H:5432 is already used by node "a"`},
		{"i.yaml", head + "  - name: b\n    slice: s\n", `node "b" has no host`},
		{"i.yaml", head + "  - just text\n", "a node must be a mapping"},
		{"i.yaml", head + "    labels: r1\n", "labels must be a mapping"},
		{"i.yaml", "x: &x {y: *x}\n", "i.yaml:1"},
		{"i.yml", "all:\n  host:\n    a:\n", `unknown key "host" in group "all"; did you mean "hosts"?`},
		{"i.yml", "all:\n  hosts:\n    a:\n      slise: s\n", `unknown variable "slise"; did you mean "slice"?`},
		{"i.yml", "all:\n  hosts:\n    a: {slice: s, host: x, ansible_host: y}\n", `host of host "a" is set both as host and as ansible_host`},
		{"i.yml", "all:\n  hosts:\n    a[1:\n", "i.yml:3"},
		{"i.yml", "all:\n  hosts:\n    \"a[3:1]\": {slice: s}\n", "ends before it begins"},
		{"i.yml", "all:\n  hosts:\n    \"a[01:9]\": {slice: s}\n", "the same number of digits"},
		{"i.yml", "all:\n  hosts:\n    \"a[1:999999999]\": {slice: s}\n", "expands to more than"},
		{"i.yml", "a:\n  children:\n    b:\n      children:\n        a:\n", "contains itself"},
		{"i.yml", "all:\n  hosts:\n    - a\n", "must be a mapping; end each name with a colon"},
		{"i.csv", "name,host,slice\n", "no nodes below the header line"},
		{"i.csv", "name,host,slise\na,h,s\n", `i.csv:1:11: unknown column "slise"; did you mean "slice"?`},
		{"i.csv", "name,host\na,h\n", `missing column "slice"`},
		{"i.csv", "name,host,slice,name\na,h,s,b\n", `duplicate column "name"`},
		{"i.csv", "name,host,slice\na,h\n", "i.csv:2: the row has 2 fields, the header 3 columns"},
		{"i.csv", "name,host,slice\na,h,s,x\n", `i.csv:2:7: field "x" has no column in the header`},
		{"i.csv", "name,host,slice\n\"a,h,s\n", "i.csv:2"},
		{"i.csv", "name,host,slice\na,h,s\nb,i", "may be truncated"},
		{"i.csv", "name,host,slice,label:\na,h,s,x\n", "has no label name"},
		{"i.txt", "name,host,slice\na,h,s\n", "unknown type of file; .csv"},
	} {
		_, err := parseOne(c.file, c.text, Options{})
		var p Problems
		if !errors.As(err, &p) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q:\ngot  %v\nwant %s", c.text, err, c.want)
		}
	}
}

// TestExpansionLimit checks that aliases which expand exponentially are refused, before they take time or memory.
func TestExpansionLimit(t *testing.T) {
	var b strings.Builder
	b.WriteString("a0: &a0 {x: 1}\n")
	for i := range 40 {
		fmt.Fprintf(&b, "a%d: &a%d {vars: {p: *a%d, q: *a%d}}\n", i+1, i+1, i, i)
	}
	if _, err := parseOne("i.yaml", b.String(), Options{}); err == nil {
		t.Error("accepted")
	}
}

func TestZonesAndMembers(t *testing.T) {
	text := "name,host,slice,hall\na,h1,s,north\nb,h2,s,nroth\nc,h3,t,south\n"
	_, err := parseOne("i.csv", text, Options{Zones: []string{"north", "south"}, MinMembers: 2})
	for _, want := range []string{`i.csv:3:8: hall "nroth" is not listed in the settings; did you mean "north"?`, `slice "t" has 1 members`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not contain %s", err, want)
		}
	}
}

// TestConflictBetweenFiles checks that the message names both positions, and that backup files are not read.
func TestConflictBetweenFiles(t *testing.T) {
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "a.csv"), []byte("name,host,slice\ndb1,h1,s\n"), 0o600)
	os.WriteFile(filepath.Join(dir, "b.yaml"), []byte("nodes:\n  - {name: db1, host: h2, slice: s}\n"), 0o600)
	os.WriteFile(filepath.Join(dir, "b.yaml~"), []byte("nonsense"), 0o600)
	_, err := Load([]string{dir}, Options{})
	if err == nil || !strings.Contains(err.Error(), "b.yaml:2:5: node \"db1\" is already defined at "+filepath.Join(dir, "a.csv")+":2") {
		t.Errorf("%v", err)
	}
}

// TestWriteAndParse checks that Parse returns an equal set from what Write wrote as yaml and csv, and that json has all
// nodes and keys.
func TestWriteAndParse(t *testing.T) {
	for seed := range uint64(50) {
		set := randomSet(rand.New(rand.NewPCG(seed, 4)))
		for _, format := range []string{"yaml", "csv"} {
			var b bytes.Buffer
			if err := set.Write(&b, format); err != nil {
				t.Fatal(err)
			}
			back, err := parseOne("x."+format, b.String(), Options{})
			if err != nil || !back.Equal(set) {
				t.Fatalf("%s: %v\n%s", format, err, b.String())
			}
		}
		var b bytes.Buffer
		var nodes []map[string]any
		set.Write(&b, "json")
		if err := json.Unmarshal(b.Bytes(), &nodes); err != nil || len(nodes) != len(set.Nodes) || len(nodes[0]) != 8 {
			t.Fatalf("JSON %v, %d keys", err, len(nodes[0]))
		}
	}
}

func TestLint(t *testing.T) {
	files := []File{{"i.csv", []byte("name,host,slice,hall,state,started\na,127.0.0.1,s,north,ready,2999-01-01T00:00:00Z\nA,h2,s,,draining,\nb,h3,t,north,ready,")}}
	set, err := Parse(files, Options{})
	if err != nil {
		t.Fatal(err)
	}
	got := Lint(files, set, time.Now()).Error()
	for _, want := range []string{"only in case", "has no hall", "counts as cold", "a different machine for each driver", "one ready node", "has no line ending"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing:\n%s", want, got)
		}
	}
}

func FuzzCSV(f *testing.F) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 5))
		text, _ := writeCSV(rng, randomSet(rng))
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) { checkFuzzed(t, "i.csv", text) })
}

func FuzzYAML(f *testing.F) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 6))
		for _, w := range []func(*rand.Rand, *Set) (string, []int){writeList, writeAnsible} {
			text, _ := w(rng, randomSet(rng))
			f.Add(text)
		}
	}
	f.Add("a: &a {b: *a}\n")
	f.Fuzz(func(t *testing.T, text string) { checkFuzzed(t, "i.yaml", text) })
}

// checkFuzzed parses text. The result must be a set of complete nodes that survives writing and parsing, or problems
// whose lines lie within the text.
func checkFuzzed(t *testing.T, name, text string) {
	set, err := parseOne(name, text, Options{})
	if err != nil {
		var p Problems
		if !errors.As(err, &p) || len(p) == 0 {
			t.Fatalf("the error is not Problems: %v", err)
		}
		for _, one := range p {
			if one.Line < 1 || one.Line > 2+strings.Count(text, "\n")+strings.Count(text, "\r") {
				t.Fatalf("position of a problem is outside the text: %v", one)
			}
		}
		return
	}
	for _, n := range set.Nodes {
		if n.Name == "" || n.Host == "" || n.Slice == "" || n.Port < 1 || n.Port > 65535 {
			t.Fatalf("incomplete node: %+v", n)
		}
	}
	var b bytes.Buffer
	if err := set.Write(&b, "yaml"); err != nil {
		t.Fatal(err)
	}
	back, err := parseOne("back.yaml", b.String(), Options{})
	if err != nil || !back.Equal(set) {
		t.Fatalf("written and read back: %v\n%s", err, b.String())
	}
}

// BenchmarkLoad parses 100, 1,000 and 10,000 nodes in each format.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		set := &Set{}
		for i := range n {
			set.Nodes = append(set.Nodes, Node{Name: fmt.Sprintf("db%05d", i), Host: fmt.Sprintf("10.%d.%d.%d", i/65536, i/256%256, i%256), Port: 5432,
				Slice: fmt.Sprintf("s%d", i/6), Zone: "north", State: Ready, Labels: map[string]string{"rack": "r1"}})
		}
		rng := rand.New(rand.NewPCG(1, 1))
		for _, f := range forms {
			text, _ := f.write(rng, set)
			b.Run(fmt.Sprintf("%s/nodes=%d", f.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					if _, err := Parse([]File{{f.name, []byte(text)}}, Options{}); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// TestYAMLSyntaxNamesItsLine checks that syntax errors have the line of the mistake itself, whatever precedes and follows
// it. The YAML parser alone names an earlier line, or none, for several of them.
func TestYAMLSyntaxNamesItsLine(t *testing.T) {
	for _, c := range []struct {
		name, text string
		line       int // within the text
		message    string
	}{
		{"a truncated flow mapping", "  - {name: x, host: h, port: 1\n", 1, "',' or '}'"},
		{"a truncated flow mapping of two lines", "  - {name: x,\n     host: h, port: 1\n", 2, ""},
		{"a truncated list", "  - name: x\n    labels: {a: [1, 2}\n", 2, "',' or ']'"},
		{"a tab", "  - name: x\n    host: h\n\tport: 1\n", 3, "tab"},
		{"a tab before a key", "  - name: x\n \t  host: h\n", 2, "tab"},
		{"an unknown alias", "  - name: x\n    host: h\n    hall: *north\n", 3, "unknown anchor 'north'"},
		{"an unknown merge", "  - name: x\n    <<: *defaults\n", 2, "unknown anchor 'defaults'"},
		{"a key too far left", "  - name: x\n   host: h\n", 2, "indicator"},
		{"two colons", "  - name: x\n    host: h: p\n", 2, "mapping values"},
		{"a reserved character", "  - name: x\n    host: @h\n", 2, "cannot start any token"},
	} {
		for _, before := range []int{0, 1, 7, 400} {
			for _, after := range []int{0, 3} {
				var b strings.Builder
				b.WriteString("nodes:\n")
				good := func(n int, s string) {
					for i := range n {
						fmt.Fprintf(&b, "  - {name: %s%d, host: h%d, port: 5432, slice: news, hall: north,\n     labels: {k: [1, 2]}}\n", s, i, i)
					}
				}
				good(before, "a")
				want := strings.Count(b.String(), "\n") + c.line
				b.WriteString(c.text)
				good(after, "b")
				_, err := parseOne("n.yaml", b.String(), Options{})
				var p Problems
				if !errors.As(err, &p) || len(p) != 1 {
					t.Fatalf("%s: %v", c.name, err)
				}
				if p[0].Origin.Line != want || after == 0 && !strings.Contains(p[0].Text, c.message) {
					t.Errorf("%s, %d nodes before and %d after: %v, want line %d", c.name, before, after, p[0], want)
				}
			}
		}
	}
}
