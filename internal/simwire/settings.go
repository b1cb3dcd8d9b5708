package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"umberladder/balance"
)

// settings reads typed values and keeps the first error in err.
type settings struct {
	values Values
	err    error
}

// ParseSettings parses start settings, one key=value per line. It returns the router's configuration and the names of a
// report's values in order. Unknown keys are ignored. The error names the first invalid line or setting.
func ParseSettings(text string) (balance.Config, []string, error) {
	v := Values{}
	for n, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return balance.Config{}, nil, fmt.Errorf("settings line %d: want key=value", n+1)
		}
		v[key] = strings.TrimSuffix(value, "\r")
	}
	cfg, err := v.Config()
	return cfg, v.List("feedback.fields"), err
}

func (s *settings) config() balance.Config {
	cfg := balance.Config{
		Zone:                 int(s.number("locality", 0)),
		Routers:              int(s.number("n-instances", 0)),
		MinBatchInterval:     s.time("round"),
		Origin:               s.time("family-info.origin-time"),
		Positions:            s.flag("family-info.positions"),
		DriverSessions:       s.values["family-info.tokens"] == "router",
		SubscribeToList:      s.values["discovery"] == "ask",
		SubscribeWithin:      s.time("obligations.ask-within"),
		DrainGrace:           s.time("obligations.drain-grace"),
		SoftRemoval:          s.flag("obligations.soft-removal"),
		AnswerSlack:          s.time("obligations.answer-slack"),
		ColdFrom:             s.number("obligations.cold-from", 0),
		RampTime:             s.time("obligations.ramp-time"),
		ColdOverloadMultiple: s.number("obligations.tip-multiple", 0),
		ColdOverloadWindow:   s.time("obligations.fall"),
		CatchUpWait:          s.time("family-info.catch-up-wait"),
		Cancel:               s.flag("bounds.cancel"),
		Probing:              s.flag("bounds.probing"),
		ParallelAttempts:     s.flag("bounds.parallel-tries"),
		AttemptLimit:         int(s.number("bounds.try-limit", 1)),
		RetryAfter:           s.flag("bounds.retry-after"),
		MaxRetryAfter:        s.time("bounds.max-retry-after"),
		DialTimeout:          s.time("bounds.dial-timeout"),
		ListShowsRole:        s.values["family-info.shows-role"] == "delayed",
	}
	cfg.LagPolicy = choice(s, "family-info.behind", map[string]balance.LagPolicy{"": balance.LagServe,
		"none": balance.LagServe, "reject": balance.LagReject, "hold": balance.LagWait})
	n := int(s.number("classes.count", 0))
	if n < 0 || n > math.MaxUint8+1 {
		s.fail("classes.count", "must be between 0 and 256")
		return cfg
	}
	needs, bounds := s.list("family-info.needs-by-class"), s.list("family-info.oldest-data")
	if len(needs) != n {
		s.fail("family-info.needs-by-class", fmt.Sprintf("has %d values for %d classes", len(needs), n))
		return cfg
	}
	for i := range n {
		cfg.Classes = append(cfg.Classes, s.class(i, needs[i], bounds))
	}
	return cfg
}

func (s *settings) class(i int, need string, bounds []string) balance.Class {
	at := fmt.Sprintf("classes.%d.", i)
	c := balance.Class{
		Name:      s.values[at+"name"],
		Target:    s.time(at + "target"),
		Deadline:  s.time(at + "deadline"),
		Window:    s.time(at + "window"),
		Value:     s.number(at+"worth", 1),
		LateValue: s.number(at+"late-worth", 0),
	}
	c.Effect = choice(s, at+"effect", map[string]balance.Effect{"read_like": balance.Safe,
		"idempotency_key": balance.Keyed, "non_idempotent": balance.Unsafe})
	c.Scope = choice(s, at+"group", map[string]balance.Scope{"": balance.ScopeGroup, "cell": balance.ScopeGroup,
		"zone": balance.ScopeZone, "all": balance.ScopeAll})
	needs := map[string]balance.Need{"update": balance.NeedWrite, "latest": balance.NeedFresh,
		"own_writes": balance.NeedSession, "recent": balance.NeedBounded, "loose": balance.NeedAny}
	kind, ok := needs[need]
	if !ok {
		s.fail("family-info.needs-by-class", strconv.Quote(need)+" is not one of update, latest, own_writes, recent, loose")
	}
	c.Need = kind
	if kind == balance.NeedBounded {
		if i >= len(bounds) {
			s.fail("family-info.oldest-data", "has fewer values than there are classes")
			return c
		}
		c.Bound = s.parseTime("family-info.oldest-data", bounds[i])
	}
	return c
}

// choice returns the value that choices has for a setting.
func choice[T any](s *settings, key string, choices map[string]T) T {
	v, ok := choices[s.values[key]]
	if !ok {
		s.fail(key, strconv.Quote(s.values[key])+" is not an allowed value")
	}
	return v
}

func (s *settings) list(key string) []string {
	if s.values[key] == "" {
		return nil
	}
	return strings.Split(s.values[key], ",")
}

func (s *settings) number(key string, absent float64) float64 {
	text, ok := s.values[key]
	if !ok || text == "" {
		return absent
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > 9e12 {
		s.fail(key, strconv.Quote(text)+" is not a number of magnitude up to 9e12")
		return absent
	}
	return v
}

func (s *settings) time(key string) time.Duration {
	t, _ := Millis(s.number(key, 0))
	return t
}

func (s *settings) parseTime(key, text string) time.Duration {
	v, err := strconv.ParseFloat(text, 64)
	t, ok := Millis(v)
	if err != nil || !ok {
		s.fail(key, strconv.Quote(text)+" is not a time in ms of magnitude up to 9e12")
	}
	return t
}

func (s *settings) flag(key string) bool {
	text := s.values[key]
	if text != "" && text != "true" && text != "false" {
		s.fail(key, strconv.Quote(text)+" is neither true nor false")
	}
	return text == "true"
}

func (s *settings) fail(key, why string) {
	if s.err == nil {
		s.err = fmt.Errorf("setting %s: %s", key, why)
	}
}
