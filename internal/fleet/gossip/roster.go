package gossip

import "damaskrouter.example/damaskrouter/internal/fleet/membership"

// maxLinks bounds the routers with which exchanges of members are remembered: the one above
// this router in the tree of calls, the seeds, and those that were above it lately.
const maxLinks = 8

// RosterAsk returns this router's half of an exchange of members with the router at an
// address. Each must be followed by RosterReplied or RosterFailed.
func (d *Driver) RosterAsk(address string) membership.RosterAsk {
	var out membership.RosterAsk
	d.do(func() {
		link := d.links[address]
		if link == nil {
			d.forgetLinks()
			link = &membership.RosterLink{}
			d.links[address] = link
		}
		out = d.end.Detector().RosterAsk(link)
	})
	return out
}

// RosterReplied takes the reply to the last RosterAsk for an address. The snapshot has its
// rows when it returns.
func (d *Driver) RosterReplied(address string, reply membership.RosterReply) {
	d.do(func() {
		if link := d.links[address]; link != nil {
			d.end.Detector().RosterReplied(link, reply)
		}
	})
}

// RosterFailed notes that the last RosterAsk for an address had no reply.
func (d *Driver) RosterFailed(address string) {
	d.do(func() { delete(d.links, address) })
}

// RosterAnswer takes another router's half of an exchange and returns this one's.
func (d *Driver) RosterAnswer(ask membership.RosterAsk) membership.RosterReply {
	var out membership.RosterReply
	d.do(func() { out = d.end.Detector().RosterAnswer(ask) })
	return out
}

// forgetLinks makes room for one more. The next exchange with a forgotten one compares the
// tables again.
func (d *Driver) forgetLinks() {
	for address := range d.links {
		if len(d.links) < maxLinks {
			return
		}
		delete(d.links, address)
	}
}

// do has the owner run a command, and waits until it has and the snapshot is published. After
// Close it does nothing.
func (d *Driver) do(command func()) {
	done := make(chan struct{})
	select {
	case d.commands <- func() { command(); d.notify(); close(done) }:
	case <-d.ended:
		return
	}
	select {
	case <-done:
	case <-d.ended:
	}
}
