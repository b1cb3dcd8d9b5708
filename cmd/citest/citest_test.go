package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const listed = `# comment
test: made.up/p TestListed
test: made.up/p TestParent/listed
command: go test -run TestListed
seen: it fails
issue: 1
`

// TestOnlyListedFailuresArePassedOver runs generated packages with one fault each.
func TestOnlyListedFailuresArePassedOver(t *testing.T) {
	const parent = `
func TestParent(t *testing.T) { t.Run("listed", func(t *testing.T) {`
	for _, c := range []struct {
		name, body, list, want string
		args                   []string
		ok                     bool
	}{
		{"nothing fails", `func TestListed(t *testing.T) {}` + parent + `}) }`, listed, "but passed: made.up/p TestListed", nil, true},
		{"listed ones fail", `func TestListed(t *testing.T) { t.Fatal("x") }` + parent + `t.Error("x") }) }`, listed, "passed over, a known failure: made.up/p TestParent/listed", nil, true},
		{"no list", `func TestOther(t *testing.T) { t.Fatal("x") }`, "", "not passed over: made.up/p TestOther", nil, false},
		{"an unlisted one too", `func TestListed(t *testing.T) { t.Fatal("x") }` + parent + `}) }; func TestOther(t *testing.T) { t.Fatal("x") }`, listed, "not passed over: made.up/p TestOther", nil, false},
		{"a sibling of a listed subtest", `func TestListed(t *testing.T) {}` + parent + `}); t.Run("other", func(t *testing.T) { t.Fail() }) }`, listed, "not passed over: made.up/p TestParent/other", nil, false},
		{"the parent of a listed subtest by itself", `func TestListed(t *testing.T) {}` + parent + `t.Fail() }); t.Error("own") }`, listed, "not passed over: made.up/p TestParent\n", nil, false},
		{"a panic in a listed one", `func TestListed(t *testing.T) { panic("x") }`, listed, "a panic", nil, false},
		{"a race in a listed one", `func TestListed(t *testing.T) { n := 0; done := make(chan int); go func() { n++; close(done) }(); n++; <-done; t.Fail() }`, listed, "a data race", []string{"-race"}, false},
		{"a build that fails", `func TestListed(t *testing.T) { x }`, listed, "did not build", nil, false},
		{"an exit without a failed test", `func TestListed(t *testing.T) {}; func TestMain(m *testing.M) { m.Run(); os.Exit(3) }`, listed, "no test of it did", nil, false},
		{"a listed one that does not exist", `func TestListed(t *testing.T) { t.Fail() }`, listed, "names made.up/p TestParent/listed, which is no test here", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			header := "package p\nimport \"testing\"\n"
			if strings.Contains(c.body, "os.") {
				header += "import \"os\"\n"
			}
			for name, text := range map[string]string{"go.mod": "module made.up\n\ngo 1.24\n", "p/p_test.go": header + c.body, "list": c.list} {
				path := filepath.Join(dir, name)
				os.MkdirAll(filepath.Dir(path), 0o755)
				if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			var out bytes.Buffer
			ok, err := run(filepath.Join(dir, "list"), dir, append(c.args, "./..."), &out)
			if err != nil || ok != c.ok || !strings.Contains(out.String(), c.want) {
				t.Errorf("ok %v, error %v, want %q in:\n%s", ok, err, c.want, &out)
			}
		})
	}
}

// TestMalformedList checks that each error names its line or entry.
func TestMalformedList(t *testing.T) {
	for text, want := range map[string]string{
		"test: p\n":                            "line 1: \"p\" is not of the form",
		"command: c\nsaw: x\n":                 "line 2: key \"saw\" is not known",
		"command: c\ncommand: d\n":             "line 2: command is already set",
		"command: c\nissue: 1\n":               "entry 1: it has no line \"seen:\"",
		"command: c\nseen: s\nissue: 1\n\nx\n": "line 5: \"x\" is not of the form",
	} {
		if _, err := parseList(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
