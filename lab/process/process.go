// Package process reads resource usage of running processes from Linux's /proc. Its input is a process id; its output
// is resident memory in bytes or the number of open file descriptors. Packages lab/memory and lab/soak call it
// to observe driver processes.
package process

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ResidentPeak returns the peak resident memory of a process in bytes, 0 if it cannot be read, as after the end of the
// process.
func ResidentPeak(pid int) int64 { return statusBytes(pid, "VmHWM:") }

// Anonymous returns the resident anonymous memory of a process in bytes: all but the pages of files, such as its
// program. It is 0 if it cannot be read.
func Anonymous(pid int) int64 { return statusBytes(pid, "RssAnon:") }

// statusBytes returns the value of a line of a process's status, which is in kB, 0 if there is none.
func statusBytes(pid int, line string) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		rest, found := strings.CutPrefix(lines.Text(), line)
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		if err != nil {
			return 0
		}
		return kilobytes << 10
	}
	return 0
}

// OpenFiles returns the number of open file descriptors of a process; ok is false if it cannot be read, as
// after the end of the process.
func OpenFiles(pid int) (count int, ok bool) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err == nil
}
