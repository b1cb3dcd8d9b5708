// Package sock reads and writes TCP sockets past package net's own waiting: it never waits to write, and while it
// waits to read it holds no memory.
package sock

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"umberladder/pgwire"
)

// Socket is a connection with ways that do not wait.
type Socket struct {
	net.Conn
	raw   syscall.RawConn // nil for what is no socket of the system
	gate  sync.Locker
	heard func()
}

// Gate has each patient read that brings something call heard, both under a lock. Who holds the lock then knows whether
// what is not in the socket any more was heard of.
func (s *Socket) Gate(gate sync.Locker, heard func()) { s.gate, s.heard = gate, heard }

// New makes a Socket of a connection.
func New(nc net.Conn) *Socket {
	s := &Socket{Conn: nc}
	if sc, ok := nc.(syscall.Conn); ok {
		s.raw, _ = sc.SyscallConn()
	}
	return s
}

// TryWrite writes what the system takes now. A full socket is no error.
func (s *Socket) TryWrite(b []byte) (n int, err error) {
	if s.raw == nil {
		return 0, nil
	}
	if e := s.raw.Write(func(fd uintptr) bool {
		n, err = syscall.Write(int(fd), b)
		return true // never wait for the socket
	}); e != nil {
		err = e
	}
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		err = nil
	}
	return max(n, 0), err
}

// Quiet tells whether nothing waits to be read, no end either.
func (s *Socket) Quiet() bool {
	if s.raw == nil {
		return true
	}
	quiet := false
	var one [1]byte
	err := s.raw.Control(func(fd uintptr) {
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN) || errors.Is(e, syscall.EINTR)
	})
	return err == nil && quiet
}

// Pending tells whether bytes wait to be read. An end alone does not count.
func (s *Socket) Pending() bool {
	pending := false
	if s.raw == nil {
		return false
	}
	var one [1]byte
	err := s.raw.Control(func(fd uintptr) {
		n, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = e == nil && n > 0
	})
	return err == nil && pending
}

// AcceptNow is the next connection that the system has accepted for a TCP listener; an error if there is none yet.
func AcceptNow(l net.Listener) (net.Conn, error) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	conn := -1
	if e := raw.Control(func(fd uintptr) {
		conn, _, err = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	}); e != nil {
		err = e
	}
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(conn), "")
	defer f.Close() // FileConn has one of its own
	return net.FileConn(f)
}

// HungUp tells whether the peer ended or broke the connection, also where bytes that it sent before are still unread.
func (s *Socket) HungUp() bool {
	hungUp := false
	if s.raw != nil {
		s.raw.Control(func(fd uintptr) { hungUp = isHungUp(fd) })
	}
	return hungUp
}

// AwaitHangup waits, reading nothing, until the peer ended or broke the connection, or until the read deadline: an error
// that wraps os.ErrDeadlineExceeded. net.ErrClosed is what it tells of a socket that was closed here.
func (s *Socket) AwaitHangup() error {
	if s.raw == nil {
		return errors.ErrUnsupported
	}
	return s.raw.Read(isHungUp)
}

func isHungUp(fd uintptr) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Shut ends the connection for its peer and for what reads it here, before it returns and without waiting for that. The
// socket itself is left to Close.
func (s *Socket) Shut() {
	if s.raw == nil {
		s.Close()
		return
	}
	s.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
}

// End shuts the connection and closes its socket. Who holds what a read of it waits for must only shut it: Close waits for
// reads to end.
func (s *Socket) End() {
	s.Shut()
	s.Close()
}

// EndWriting half-closes the connection: the peer hears the end once it has read what was sent.
func (s *Socket) EndWriting() {
	if s.raw != nil {
		s.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	}
}

// ReadPatiently takes a buffer for as long as it reads into it, not while it waits.
func (s *Socket) ReadPatiently(shared *pgwire.Buffers) (buf []byte, n int, err error) {
	if s.raw == nil {
		buf = shared.Get()
		n, err = s.Read(buf)
		return buf, n, err
	}
	if e := s.raw.Read(func(fd uintptr) bool {
		buf = shared.Get()
		if s.gate != nil {
			s.gate.Lock()
			defer s.gate.Unlock()
		}
		for n, err = syscall.Read(int(fd), buf); err == syscall.EINTR; {
			n, err = syscall.Read(int(fd), buf)
		}
		if n > 0 {
			if s.heard != nil {
				s.heard()
			}
			return true
		}
		shared.Put(buf)
		buf = nil
		return err != syscall.EAGAIN
	}); e != nil {
		err = e
	}
	if err == nil && n <= 0 {
		err = io.EOF
	}
	return buf, max(n, 0), err
}
