package simwire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"umberladder/balance"
)

// Values holds the start settings, flattened to a value for each path: nested names are joined by dots, and lists of
// plain values by commas. A list of objects has its length under .count and its items under .0, .1 and so on.
type Values map[string]string

// ParseJSON flattens settings given as a JSON object. It fails if raw is not one.
func ParseJSON(raw []byte) (Values, error) {
	var tree map[string]any
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	v := Values{}
	v.flatten("", tree)
	return v, nil
}

func (v Values) flatten(path string, x any) {
	switch x := x.(type) {
	case map[string]any:
		for name, item := range x {
			v.flatten(strings.TrimPrefix(path+"."+name, "."), item)
		}
	case []any:
		var plain []string
		for i, item := range x {
			switch item.(type) {
			case map[string]any, []any:
				v.flatten(path+"."+strconv.Itoa(i), item)
			default:
				plain = append(plain, text(item))
			}
		}
		if len(plain) < len(x) {
			v[path+".count"] = strconv.Itoa(len(x))
		} else {
			v[path] = strings.Join(plain, ",")
		}
	default:
		v[path] = text(x)
	}
}

func text(x any) string {
	if x == nil {
		return ""
	}
	return fmt.Sprint(x)
}

// Config returns a router's configuration. The error names the first invalid or missing setting.
func (v Values) Config() (balance.Config, error) {
	s := &settings{values: v}
	cfg := s.config()
	return cfg, s.err
}

// List returns a setting that is a list of plain values, nil if it is absent or empty.
func (v Values) List(key string) []string { return (&settings{values: v}).list(key) }

// Duration returns a setting in milliseconds as a duration, 0 if it is absent or invalid.
func (v Values) Duration(key string) time.Duration { return (&settings{values: v}).time(key) }
