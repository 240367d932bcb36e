package soak

import (
	"errors"
	"net"
	"sync"
	"time"
)

// peerLink is the network between other routers and one router: a proxy for TCP calls
// and one for datagrams, both at the router's advertised address.
type peerLink struct {
	calls     *proxy
	datagrams *net.UDPConn
	target    *net.UDPAddr

	mu sync.Mutex
	// senders holds a socket for each sender, by the sender's address. The router sees the
	// socket's address as the sender's.
	senders map[string]*net.UDPConn
}

func newPeerLink(listen, target string) (*peerLink, error) {
	calls, err := newProxyAt(listen, target)
	if err != nil {
		return nil, err
	}
	listenAddr, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, err
	}
	targetAddr, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", listenAddr)
	if err != nil {
		return nil, err
	}
	l := &peerLink{calls: calls, datagrams: conn, target: targetAddr, senders: make(map[string]*net.UDPConn)}
	go l.serve()
	return l, nil
}

// set sets the mode. Datagrams are delayed or dropped like the bytes of connections;
// the mode that resets connections lets datagrams pass.
func (l *peerLink) set(m mode) { l.calls.set(m) }

func (l *peerLink) close() {
	l.calls.close()
	_ = l.datagrams.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.senders {
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
		if l.calls.currentMode() == droppingAll {
			continue
		}
		out, err := l.senderSocket(from)
		if err != nil {
			continue
		}
		l.forward(append([]byte(nil), buf[:n]...), func(datagram []byte) { _, _ = out.Write(datagram) })
	}
}

// forward sends a datagram, with a delay in the mode delayed.
func (l *peerLink) forward(datagram []byte, send func([]byte)) {
	if l.calls.currentMode() == delayed {
		time.AfterFunc(delay, func() { send(datagram) })
		return
	}
	send(datagram)
}

// senderSocket returns the socket that represents a sender to the router.
func (l *peerLink) senderSocket(from *net.UDPAddr) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.senders[from.String()]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp4", nil, l.target)
	if err != nil {
		return nil, err
	}
	l.senders[from.String()] = c
	go l.forwardReplies(c, from)
	return c, nil
}

// forwardReplies sends the router's datagrams for a sender back to it.
func (l *peerLink) forwardReplies(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buf)
		if err != nil {
			// While the router restarts, nothing listens on its port, which the socket
			// reports as an error. The socket stays usable.
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if m := l.calls.currentMode(); m == droppingAll || m == droppingReplies {
			continue
		}
		l.forward(append([]byte(nil), buf[:n]...), func(datagram []byte) { _, _ = l.datagrams.WriteToUDP(datagram, to) })
	}
}
