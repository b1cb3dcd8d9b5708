package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"umberladder/balance"
)

// Values is the start settings as path=value pairs: nested names are joined by dots, a list of plain values by
// commas, and a list of objects has its length under .count and its items under .0, .1 and so on.
type Values map[string]string

// ValuesOfJSON flattens nested settings.
func ValuesOfJSON(raw []byte) (Values, error) {
	var tree map[string]any
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	v := Values{}
	v.put("", tree)
	return v, nil
}

func (v Values) put(path string, x any) {
	switch x := x.(type) {
	case map[string]any:
		for name, item := range x {
			v.put(strings.TrimPrefix(path+"."+name, "."), item)
		}
	case []any:
		var plain []string
		for i, item := range x {
			switch item.(type) {
			case map[string]any, []any:
				v.put(path+"."+strconv.Itoa(i), item)
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

// Config is what a router is told by the settings.
func (v Values) Config() (balance.Config, error) {
	s := &settings{values: v}
	cfg := s.config()
	return cfg, s.err
}

// List is a setting of plain values.
func (v Values) List(key string) []string { return (&settings{values: v}).list(key) }

// Time is a setting in milliseconds; 0 where it is absent or unusable.
func (v Values) Time(key string) time.Duration { return (&settings{values: v}).time(key) }
