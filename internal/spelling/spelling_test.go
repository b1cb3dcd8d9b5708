package spelling

import "testing"

func TestDistance(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want int
	}{{"", "", 0}, {"port", "prot", 1}, {"port", "port", 0}, {"slise", "slice", 1}, {"", "abc", 3}, {"hall", "hal", 1}, {"state", "stage", 1}} {
		if got := Distance(c.a, c.b); got != c.want || Distance(c.b, c.a) != got {
			t.Errorf("%q, %q: %d, want %d", c.a, c.b, got, c.want)
		}
	}
	if got := Nearest("Prot", []string{"host", "port"}, 2); got != "port" {
		t.Errorf("nearest %q", got)
	}
	if got := Nearest("entirely", []string{"host", "port"}, 2); got != "" {
		t.Errorf("nearest %q", got)
	}
}
