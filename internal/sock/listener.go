package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DeferAccept sets a listener's descriptor so that a connection is accepted only once it has input, or after a time, which
// is rounded to whole seconds. An error leaves the listener as it was.
func DeferAccept(fd uintptr, limit time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, int(limit/time.Second))
}

// AcceptDeferred returns the time after which a listener accepts a connection without input; 0 if it does at once.
func AcceptDeferred(l net.Listener) (limit time.Duration) {
	control(l, func(fd uintptr) {
		if seconds, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT); err == nil {
			limit = time.Duration(seconds) * time.Second
		}
	})
	return limit
}

// control calls use with a listener's descriptor, if it has one.
func control(l net.Listener, use func(fd uintptr)) {
	if sc, ok := l.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			raw.Control(use)
		}
	}
}
