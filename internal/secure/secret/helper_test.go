package secret

import (
	"io"
	"net"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
)

func echoAll(ln net.Listener) {
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

// exchange lets the routers' packets flow for a second of virtual time. Every
// packet arrives before the next tick.
func exchange(fleet []*router, now *time.Duration) {
	const tick = 50 * time.Millisecond
	byAddress := make(map[string]*router)
	for _, r := range fleet {
		byAddress[r.address] = r
	}
	for end := *now + time.Second; *now < end; *now += tick {
		for _, r := range fleet {
			deliver(byAddress, *now, r.address, r.packets.Tick(*now))
		}
	}
}

func deliver(to map[string]*router, now time.Duration, from string, packets []gossip.Packet) {
	for _, p := range packets {
		if r := to[p.To]; r != nil {
			deliver(to, now, r.address, r.packets.Receive(now, from, p.Data))
		}
	}
}
