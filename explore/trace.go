package explore

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"umberladder/internal/conffile"
)

// FormatTrace returns a violation as the text of a trace file (*.story): the violation as a comment, the Config without its
// Depth as directives in the syntax of a settings file, then one line per event.
func FormatTrace(cfg Config, v Violation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\nclients %d\nnodes %d\nresets %d\ndrains %d\ncrashes %d\nzombies %d\nleaves %d\n", v.Message, cfg.Clients, cfg.Nodes, cfg.Resets, cfg.Drains, cfg.Crashes, cfg.StalePrimaries, cfg.Disconnects)
	for _, s := range cfg.Script {
		fmt.Fprintf(&b, "script %s\n", strconv.Quote(s))
	}
	for _, e := range v.Events {
		fmt.Fprintf(&b, "event %s\n", strconv.Quote(e))
	}
	return b.String()
}

// ReadTrace reads a trace file that FormatTrace wrote. Errors of syntax name the line and the column.
func ReadTrace(path string) (cfg Config, events []string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return cfg, nil, fmt.Errorf("trace file: %w", err)
	}
	p := conffile.NewParser(path, string(text))
	counts := map[string]*int{"clients": &cfg.Clients, "nodes": &cfg.Nodes, "resets": &cfg.Resets, "drains": &cfg.Drains, "crashes": &cfg.Crashes, "zombies": &cfg.StalePrimaries, "leaves": &cfg.Disconnects}
	for _, d := range p.Tree() {
		switch name := d.Name.Text; {
		case counts[name] != nil:
			p.IntArg(d, counts[name], 0, 100)
		case name == "script":
			if w, ok := p.SingleArg(d); ok {
				cfg.Script = append(cfg.Script, w.Text)
			}
		case name == "event":
			if w, ok := p.SingleArg(d); ok {
				events = append(events, w.Text)
			}
		default:
			p.UnknownDirective(d.Name, []string{"clients", "nodes", "resets", "drains", "crashes", "zombies", "leaves", "script", "event"})
		}
	}
	if len(cfg.Script) == 0 || cfg.Nodes == 0 || cfg.Clients == 0 {
		p.AddProblem(conffile.Word{Line: 1, Column: 1}, "a trace file needs clients, nodes and a script")
	}
	return cfg, events, p.Err()
}
