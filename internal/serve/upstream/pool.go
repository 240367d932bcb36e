package upstream

import (
	"net/http"
	"sync"
	"time"
)

// pools keeps a pool for each upstream, so that one silent upstream doesn't
// cost the others their connections.
type pools struct {
	opts      Options
	mu        sync.Mutex
	byAddress map[string]*pool
}

func newPools(o Options) *pools {
	return &pools{opts: o, byAddress: map[string]*pool{}}
}

// at returns the pool of the upstream at address.
func (p *pools) at(address string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found, ok := p.byAddress[address]; ok {
		return found
	}
	p.sweep()
	added := &pool{opts: p.opts, cur: pooledTransport(p.opts), born: time.Now()}
	p.byAddress[address] = added
	return added
}

// sweep forgets pools that have outlived their connections. Upstreams come and
// go, and each new address would otherwise stay in memory for good.
func (p *pools) sweep() {
	for address, old := range p.byAddress {
		if old.expired() {
			old.shed()
			delete(p.byAddress, address)
		}
	}
}

func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, each := range p.byAddress {
		each.shed()
	}
	clear(p.byAddress)
}

// pool hands out a transport whose connections have a bounded age.
//
// What goes wrong without it: something between router and upstream forgets a
// connection. The pool keeps offering it, and each request on it waits for its
// timeout although a new connection would work. A generation of connections is
// left behind after ConnAge, and at once when a reused connection went silent.
type pool struct {
	opts Options
	mu   sync.Mutex
	cur  *http.Transport
	born time.Time
}

func pooledTransport(o Options) *http.Transport {
	return &http.Transport{
		DialContext:         o.dialCounted,
		DisableCompression:  true,
		IdleConnTimeout:     o.IdleConn,
		MaxIdleConnsPerHost: o.MaxIdlePerHost,
		ReadBufferSize:      connBuffer,
		WriteBufferSize:     connBuffer,
	}
}

// connBuffer is the size of a connection's buffers, in bytes. A chunk is a few
// hundred bytes long, and thousands of streams are open at a time; long bodies
// pass the buffers by.
const connBuffer = 1 << 10

func (p *pool) transport() *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.old() {
		p.renew()
	}
	return p.cur
}

// shed leaves the present generation behind: its unused connections close
// now, those in use close after IdleConn without work.
func (p *pool) shed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.renew()
}

func (p *pool) expired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.old()
}

func (p *pool) old() bool { return time.Since(p.born) >= p.opts.ConnAge }

func (p *pool) renew() {
	p.cur.CloseIdleConnections()
	p.cur = pooledTransport(p.opts)
	p.born = time.Now()
}
