package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// caseLimit is the time after which a case that has not ended could not run.
const caseLimit = 110 * time.Second

// run is one run of a case.
type run struct {
	trouble bool // false with TROUBLE=0
	start   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	driver *driver
	broken []string
}

var cases = map[string]func(*run) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig-2 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: bufio.NewWriter(file)}
	time.AfterFunc(caseLimit, func() { r.exit(fmt.Errorf("the case did not end within %v", caseLimit)) })
	r.exit(cases[os.Args[1]](r))
}

// exit ends the driver and the process with the status of the run.
func (r *run) exit(err error) {
	r.mu.Lock()
	d := r.driver
	r.mu.Unlock()
	if d != nil {
		if early := d.kill(); early != nil && err == nil {
			err = early
		}
	}
	status := 0
	switch {
	case err != nil:
		r.log("the case could not run: %v", err)
		status = 2
	case len(r.broken) > 0:
		r.log("rule broken %d times, first: %s", len(r.broken), r.broken[0])
		status = 1
	default:
		r.log("rule held")
	}
	r.mu.Lock()
	r.record.Flush()
	os.Exit(status)
}

// since returns the time since the start of the run.
func (r *run) since(t time.Time) time.Duration { return t.Sub(r.start).Round(time.Microsecond) }

// log writes a line to the record; the result is also printed.
func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// breaks records one break of the rule.
func (r *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.log("BROKEN: %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}
