// Package sock provides non-blocking operations on TCP sockets: writes that never block, and reads that hold no buffer
// while they wait.
package sock

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"umberladder/pgwire"
)

// Socket is a net.Conn with non-blocking operations.
type Socket struct {
	net.Conn
	raw      syscall.RawConn // nil if the connection has no file descriptor
	readLock sync.Locker
	onRead   func(Read)
}

// Read describes a read that returned bytes.
type Read struct {
	Waited  bool // it had to wait for them
	Drained bool // it left none in the socket
}

// OnRead sets a function that is called when a read into a shared buffer returns bytes, with lock held from before
// that read until after the call. Thus a holder of lock knows of all bytes that are no longer in the socket's buffer.
// OnRead must not be called during a read.
func (s *Socket) OnRead(lock sync.Locker, read func(Read)) { s.readLock, s.onRead = lock, read }

// New returns a Socket for nc. If nc has no file descriptor, TryWrite writes nothing, WouldBlock is always true, and
// HasInput and HungUp are always false.
func New(nc net.Conn) *Socket {
	s := &Socket{Conn: nc}
	if sc, ok := nc.(syscall.Conn); ok {
		s.raw, _ = sc.SyscallConn()
	}
	return s
}

// TryWrite writes as many bytes as the socket's buffer accepts, without blocking. A full buffer is not an error.
func (s *Socket) TryWrite(b []byte) (n int, err error) {
	if s.raw == nil {
		return 0, nil
	}
	if e := s.raw.Write(func(fd uintptr) bool {
		n, err = syscall.Write(int(fd), b)
		return true // do not wait until the socket is writable
	}); e != nil {
		err = e
	}
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		err = nil
	}
	return max(n, 0), err
}

// WouldBlock reports whether a read would block: neither bytes nor the peer's end are pending.
func (s *Socket) WouldBlock() bool {
	if s.raw == nil {
		return true
	}
	blocks := false
	var one [1]byte
	err := s.raw.Control(func(fd uintptr) {
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		blocks = errors.Is(e, syscall.EAGAIN) || errors.Is(e, syscall.EINTR)
	})
	return err == nil && blocks
}

// HasInput reports whether bytes are pending to be read. The peer's end alone does not count.
func (s *Socket) HasInput() bool {
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

// SinceInput returns the time since the system received the peer's last input, whether or not that was read. It is 0 if
// the system does not tell.
func (s *Socket) SinceInput() (age time.Duration) {
	if s.raw == nil {
		return 0
	}
	s.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// TryAccept returns the next pending connection of a TCP listener without blocking. The error is syscall.EAGAIN if
// there is none, and errors.ErrUnsupported if l has no file descriptor.
func TryAccept(l net.Listener) (net.Conn, error) {
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
	defer f.Close() // FileConn duplicates the descriptor
	return net.FileConn(f)
}

// HungUp reports whether the peer closed or reset the connection, even if bytes it sent before are still unread.
func (s *Socket) HungUp() bool {
	hungUp := false
	if s.raw != nil {
		s.raw.Control(func(fd uintptr) { hungUp = isHungUp(fd) })
	}
	return hungUp
}

// AwaitHangup blocks, reading nothing, until the peer closes or resets the connection (nil) or the read deadline
// expires (an error that wraps os.ErrDeadlineExceeded). The error wraps net.ErrClosed if the socket was closed
// locally, and is errors.ErrUnsupported without a file descriptor.
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

// Shutdown ends both directions of the connection without waiting for pending reads, which return. The socket must
// still be closed.
func (s *Socket) Shutdown() {
	if s.raw == nil {
		s.Close()
		return
	}
	s.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
}

// ShutdownAndClose shuts the connection down and closes the socket. Close waits for reads to end, so a caller that
// holds a lock that a read needs must use Shutdown instead.
func (s *Socket) ShutdownAndClose() {
	s.Shutdown()
	s.Close()
}

// CloseWrite half-closes the connection: the peer reads the end of the stream behind the bytes sent before.
func (s *Socket) CloseWrite() {
	if s.raw != nil {
		s.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	}
}

// ReadPooled reads into a buffer that it takes from shared only once there is input; the caller must put the buffer
// back unless it is nil. It blocks until bytes, the end of the stream (io.EOF) or an error arrive.
func (s *Socket) ReadPooled(shared *pgwire.Buffers) (buf []byte, n int, err error) {
	if s.raw == nil {
		buf = shared.Get()
		n, err = s.Read(buf)
		return buf, n, err
	}
	waited := false
	if e := s.raw.Read(func(fd uintptr) bool {
		buf = shared.Get()
		if s.readLock != nil {
			s.readLock.Lock()
			defer s.readLock.Unlock()
		}
		for n, err = syscall.Read(int(fd), buf); err == syscall.EINTR; {
			n, err = syscall.Read(int(fd), buf)
		}
		if n > 0 {
			if s.onRead != nil {
				s.onRead(Read{Waited: waited, Drained: n < len(buf)})
			}
			return true
		}
		shared.Put(buf)
		buf = nil
		waited = true
		return err != syscall.EAGAIN
	}); e != nil {
		err = e
	}
	if err == nil && n <= 0 {
		err = io.EOF
	}
	return buf, max(n, 0), err
}
