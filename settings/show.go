package settings

import (
	"fmt"
	"io"
	"strings"
	"time"

	"umberladder/balance"
)

// Show writes the effective settings to w in a form that Parse accepts, with the purpose of each directive in a comment.
// Defaults are marked [default]. The error is that of w.
func (s *Settings) Show(w io.Writer) error {
	var b strings.Builder
	if len(s.Zones) > 0 {
		fmt.Fprintf(&b, "hall %s\n", strings.Join(quoteAll(s.Zones), " "))
	}
	if len(s.Inventory) > 0 {
		fmt.Fprintf(&b, "inventory %s\n", strings.Join(quoteAll(s.Inventory), " "))
	}
	def := Defaults()
	for _, bl := range blocks {
		indent := ""
		if bl.name != "" {
			fmt.Fprintf(&b, "%s {\n", bl.name)
			indent = "    "
		}
		for _, f := range bl.fields {
			line, note := fmt.Sprintf("%s%s %s", indent, f.name, f.show(s)), f.doc
			if f.show(s) == f.show(def) {
				note += " [default]"
			}
			if f.show(s) == `""` {
				line = indent + "# " + f.name // commented out, because an empty value means that the directive is not set
			}
			fmt.Fprintf(&b, "%-34s # %s\n", line, note)
		}
		if bl.name != "" {
			b.WriteString("}\n")
		}
	}
	for _, c := range s.Classes {
		c.show(&b)
	}
	for _, n := range s.Nodes {
		n.show(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func quoteAll(names []string) []string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = quote(n)
	}
	return out
}

func (c Class) show(b *strings.Builder) {
	fmt.Fprintf(b, "class %s {\n", quote(c.Name))
	fmt.Fprintf(b, "    effect %s\n", [...]string{"safe", "keyed", "unsafe"}[c.Effect])
	if c.Effect == balance.Keyed {
		fmt.Fprintf(b, "    scope %s\n    window %s\n", [...]string{"slice", "hall", "all"}[c.Scope], formatDuration(c.Window))
	}
	fmt.Fprintf(b, "    need %s", needNames[c.Need])
	if c.Need == balance.NeedBounded {
		fmt.Fprintf(b, " %s", formatDuration(c.Bound))
	}
	if c.MissingToken != MissingTokenAccept {
		fmt.Fprintf(b, "\n    without-token %s", [...]string{"accept", "primary", "refuse"}[c.MissingToken])
	}
	fmt.Fprintf(b, "\n    target %s\n    deadline %s\n    worth %g\n    late-worth %g%%\n}\n",
		formatDuration(c.Target), formatDuration(c.Deadline), c.Value, c.LateValue*100)
}

func (n Node) show(b *strings.Builder) {
	fmt.Fprintf(b, "node %s %s %s", quote(n.Name), quote(n.Address), quote("slice="+n.Slice))
	if n.Zone != "" {
		fmt.Fprintf(b, " %s", quote("hall="+n.Zone))
	}
	if n.Life != balance.LifeReady {
		fmt.Fprintf(b, " state=%s", [...]string{"ready", "draining", "gone"}[n.Life])
	}
	if !n.Started.IsZero() {
		fmt.Fprintf(b, " started=%s", n.Started.Format(time.RFC3339))
	}
	b.WriteString("\n")
}
