package gossip

import "damaskrouter.example/damaskrouter/internal/fleet/membership"

// maxLinks bounds the routers whose exchange state is kept: the parent in the call tree, the
// seeds and recent parents.
const maxLinks = 8

// RosterRequest returns the next request of a roster exchange with the router at an address. Each
// request must be followed by HandleRosterReply or RosterRequestFailed. Like the other roster
// methods it waits for the owner goroutine and must not be called from a callback.
func (d *Driver) RosterRequest(address string) membership.RosterRequest {
	var request membership.RosterRequest
	d.runAndWait(func() {
		link := d.links[address]
		if link == nil {
			d.evictLinks()
			link = &membership.RosterLink{}
			d.links[address] = link
		}
		request = d.endpoint.Detector().RosterRequest(link)
	})
	return request
}

// HandleRosterReply processes the reply to the last RosterRequest for an address. When it returns,
// the snapshot contains the rows of the reply.
func (d *Driver) HandleRosterReply(address string, reply membership.RosterReply) {
	d.runAndWait(func() {
		if link := d.links[address]; link != nil {
			d.endpoint.Detector().HandleRosterReply(link, reply)
		}
	})
}

// RosterRequestFailed records that the last RosterRequest for an address got no reply.
func (d *Driver) RosterRequestFailed(address string) {
	d.runAndWait(func() { delete(d.links, address) })
}

// HandleRosterRequest processes the request of another router and returns the reply.
func (d *Driver) HandleRosterRequest(request membership.RosterRequest) membership.RosterReply {
	var reply membership.RosterReply
	d.runAndWait(func() { reply = d.endpoint.Detector().HandleRosterRequest(request) })
	return reply
}

// evictLinks drops links until another one can be added. The next exchange over an evicted link
// compares the tables again.
func (d *Driver) evictLinks() {
	for address := range d.links {
		if len(d.links) < maxLinks {
			return
		}
		delete(d.links, address)
	}
}

// runAndWait runs a command on the owner goroutine and waits until it has finished and the
// snapshot is published. After Close it has no effect.
func (d *Driver) runAndWait(command func()) {
	done := make(chan struct{})
	select {
	case d.commands <- func() { command(); d.notify(); close(done) }:
	case <-d.exited:
		return
	}
	select {
	case <-done:
	case <-d.exited:
	}
}
