package main

import (
	"context"
	"encoding/binary"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// link is the network side of an engine: its listener and connections. It drops what is exchanged with some
// addresses, as a partition does.
type link struct {
	net.Listener
	mu    sync.Mutex
	conns map[*linkConn]bool
	cut   []net.IP
}

// linkConn is a connection of a link.
type linkConn struct {
	net.Conn
	cut atomic.Bool
}

// Write implements net.Conn. What is written during a cut is lost.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.cut.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func listenLink() (*link, error) {
	// Sockets of multipath TCP support no packet filters.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	ln, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &link{Listener: ln, conns: make(map[*linkConn]bool)}, nil
}

// Accept implements net.Listener.
func (l *link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &linkConn{Conn: c}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[out] = true
	l.apply(out)
	return out, nil
}

// apply cuts a connection, if it is to be cut. The caller holds the mutex.
func (l *link) apply(c *linkConn) {
	remote, _ := c.RemoteAddr().(*net.TCPAddr)
	if slices.ContainsFunc(l.cut, remote.IP.Equal) {
		c.cut.Store(true)
	}
	filterPackets(c.Conn, l.cut)
}

// forget closes a connection, unless it is cut: its end does not arrive.
func (l *link) forget(c net.Conn) {
	lc, ok := c.(*linkConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok && lc.cut.Load() {
		return
	}
	delete(l.conns, lc)
	_ = c.Close()
}

// setCut drops all that is exchanged with some addresses from now on. Connections that were cut before are
// closed: their ends know nothing of one another any more.
func (l *link) setCut(from []net.IP) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = from
	filterPackets(l.Listener, from)
	for c := range l.conns {
		if c.cut.Load() {
			_ = c.Close()
			delete(l.conns, c)
			continue
		}
		l.apply(c)
	}
}

// kill closes everything, as the kernel does for a process that is killed. The end of a connection that is cut
// does not arrive.
func (l *link) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.Close()
	for c := range l.conns {
		if !c.cut.Load() {
			_ = c.Close()
		}
	}
}

// sourceField is the position of the source address in the header of an IPv4 packet, for loads relative to
// the network header.
const sourceField = math.MaxUint32 - 0x100000 + 1 + 12

// filterPackets makes the kernel drop the packets of a socket that come from some addresses. Errors mean that
// the socket is closed.
func filterPackets(socket any, from []net.IP) {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	const keep = 1 << 18
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceField}}
	for _, ip := range from {
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: binary.BigEndian.Uint32(ip.To4())},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: keep})
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
}
