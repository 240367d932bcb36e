package secret

import (
	"io"
	"net"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
)

func serveEcho(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_, _ = io.Copy(c, c)
		}()
	}
}

// runGossip exchanges the routers' packets for one second of virtual time. Every
// packet arrives before the next tick.
func runGossip(fleet []*router, now *time.Duration) {
	const tick = 50 * time.Millisecond
	byAddress := make(map[string]*router)
	for _, r := range fleet {
		byAddress[r.address] = r
	}
	for end := *now + time.Second; *now < end; *now += tick {
		for _, r := range fleet {
			deliverPackets(byAddress, *now, r.address, r.packets.Tick(*now))
		}
	}
}

func deliverPackets(to map[string]*router, now time.Duration, from string, packets []gossip.Packet) {
	for _, p := range packets {
		if r := to[p.To]; r != nil {
			deliverPackets(to, now, r.address, r.packets.Receive(now, from, p.Data))
		}
	}
}
