// Package process tells what the operating system knows of a running process, from Linux's /proc.
package process

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ResidentPeak is the most memory of a process that was ever resident, in bytes; 0 if the process is gone.
func ResidentPeak(pid int) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		rest, found := strings.CutPrefix(lines.Text(), "VmHWM:")
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

// OpenFiles is how many file descriptors a process has open; ok is false if it is gone.
func OpenFiles(pid int) (count int, ok bool) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err == nil
}
