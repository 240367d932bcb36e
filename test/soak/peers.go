package soak

import (
	"errors"
	"net"
	"sync"
	"time"
)

// peerLink is what lies between a router and the others: its calls over TCP and its
// datagrams, under the address that the others know.
type peerLink struct {
	calls     *proxy
	datagrams *net.UDPConn
	target    *net.UDPAddr

	mu sync.Mutex
	// back holds a socket for each sender, from which the router sees it.
	back map[string]*net.UDPConn
}

func newPeerLink(listen, target string) (*peerLink, error) {
	calls, err := newProxyAt(listen, target)
	if err != nil {
		return nil, err
	}
	here, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, err
	}
	there, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", here)
	if err != nil {
		return nil, err
	}
	l := &peerLink{calls: calls, datagrams: conn, target: there, back: make(map[string]*net.UDPConn)}
	go l.serve()
	return l, nil
}

// set does to datagrams what the mode does to the bytes of a connection; one that
// resets connections lets them pass.
func (l *peerLink) set(m mode) { l.calls.set(m) }

func (l *peerLink) close() {
	l.calls.close()
	_ = l.datagrams.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.back {
		_ = c.Close()
	}
}

const maxDatagram = 64 << 10

func (l *peerLink) serve() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := l.datagrams.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if l.calls.now() == silent {
			continue
		}
		out, err := l.towards(from)
		if err != nil {
			continue
		}
		l.pass(append([]byte(nil), buf[:n]...), func(b []byte) { _, _ = out.Write(b) })
	}
}

// pass sends a datagram on, late where the link is slow.
func (l *peerLink) pass(b []byte, send func([]byte)) {
	if l.calls.now() == delayed {
		time.AfterFunc(delay, func() { send(b) })
		return
	}
	send(b)
}

// towards returns the socket that stands for a sender.
func (l *peerLink) towards(from *net.UDPAddr) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.back[from.String()]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp4", nil, l.target)
	if err != nil {
		return nil, err
	}
	l.back[from.String()] = c
	go l.answers(c, from)
	return c, nil
}

// answers passes what the router says to a sender back.
func (l *peerLink) answers(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buf)
		if err != nil {
			// A port that nobody listens on is reported here, while the router
			// restarts; the socket stays.
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if m := l.calls.now(); m == silent || m == deaf {
			continue
		}
		l.pass(append([]byte(nil), buf[:n]...), func(b []byte) { _, _ = l.datagrams.WriteToUDP(b, to) })
	}
}
