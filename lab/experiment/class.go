package experiment

import (
	"strconv"
	"strings"
	"time"

	"umberladder/balance"
	"umberladder/internal/conffile"
)

// class is a request class of the file and its share of the requests.
type class struct {
	balance.Class
	share float64
}

var (
	classDirectives = []string{"share", "need", "effect", "target", "deadline", "window", "worth", "late-worth"}
	needs           = map[string]balance.Need{"write": balance.NeedWrite, "fresh": balance.NeedFresh, "session": balance.NeedSession, "bounded": balance.NeedBounded, "any": balance.NeedAny}
	effects         = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
)

// parseClass parses a class block. The classes of a file replace the default ones of world.NewsroomConfig.
func (p *fileParser) parseClass(s *setup, d conffile.Directive) {
	if len(d.Args) != 1 || !d.HasBlock {
		p.AddProblem(d.Name, "class needs a name and a block")
		return
	}
	c := class{Class: balance.Class{Name: d.Args[0].Text, Need: balance.NeedAny, Target: 500 * time.Millisecond, Deadline: time.Second, Value: 1}}
	for _, other := range s.classes {
		if other.Name == c.Name {
			p.AddProblem(d.Args[0], "class %s is defined twice", c.Name)
		}
	}
	for _, line := range d.Block {
		p.parseClassDirective(&c, line)
	}
	switch {
	case c.share <= 0:
		p.AddProblem(d.Name, "class %s needs a share, as in: share 40%%", c.Name)
	case c.Deadline < c.Target:
		p.AddProblem(d.Name, "class %s has a deadline shorter than its target", c.Name)
	case c.Need == balance.NeedWrite && c.Effect == balance.Safe:
		p.AddProblem(d.Name, "class %s writes, so its effect must be keyed or unsafe", c.Name)
	case c.Effect == balance.Keyed && c.Window == 0:
		p.AddProblem(d.Name, "class %s is keyed and needs a window, as in: window 2s", c.Name)
	}
	s.classes = append(s.classes[:len(s.classes):len(s.classes)], c)
}

func (p *fileParser) parseClassDirective(c *class, line conffile.Directive) {
	if line.Name.Text == "need" && len(line.Args) == 2 && line.Args[0].Text == "bounded" {
		c.Need = balance.NeedBounded
		p.parseDuration(line.Args[1], &c.Bound)
		return
	}
	w, ok := p.SingleArg(line)
	if !ok {
		return
	}
	switch line.Name.Text {
	case "share":
		c.share = p.parsePercent(w)
	case "late-worth":
		c.LateValue = p.parsePercent(w)
	case "need":
		need, known := needs[w.Text]
		if c.Need = need; !known || need == balance.NeedBounded {
			p.AddProblem(w, "need must be write, fresh, session, any, or bounded with a time")
		}
	case "effect":
		effect, known := effects[w.Text]
		if c.Effect = effect; !known {
			p.AddProblem(w, "effect must be safe, keyed or unsafe")
		}
	case "target":
		p.parseDuration(w, &c.Target)
	case "deadline":
		p.parseDuration(w, &c.Deadline)
	case "window":
		p.parseDuration(w, &c.Window)
	case "worth":
		p.FloatArg(line, &c.Value, 0, 1e6)
	default:
		p.UnknownDirective(line.Name, classDirectives)
	}
}

// parsePercent parses a share from 0% to 100% and returns it as a fraction.
func (p *fileParser) parsePercent(w conffile.Word) float64 {
	v, err := strconv.ParseFloat(strings.TrimSuffix(w.Text, "%"), 64)
	if err != nil || !strings.HasSuffix(w.Text, "%") || v < 0 || v > 100 {
		p.AddProblem(w, "%q is not a share; want 0%% to 100%%, with the percent sign", w.Text)
	}
	return v / 100
}
