package capacity_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/decide/limit"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/lab/capacity"
	"damaskrouter.example/damaskrouter/internal/serve/quota"
)

// BenchmarkAccountRequest sends one request for leases to an account's owner over
// a real connection. Bytes are those of the call, without TCP and IP headers.
func BenchmarkAccountRequest(b *testing.B) {
	f := newFleet(b, capacity.Size{Routers: 2, Engines: 2, Pools: 1, Accounts: 10, Sites: 1, Regions: 1})
	bd := f.Start(benchContext(b), self)
	q := quota.New(quota.Options{Board: bd, Self: self, Instance: 1, Rand: rand.New(rand.NewPCG(1, 1))})
	var cnt peer.Counters
	call := serve(b, quota.ServiceName, q.Service(), &cnt)
	account := ownedAccount(q, f)
	seq := uint64(0)
	request := func() {
		seq++
		args := quota.GrantArgs{Account: account, Ask: limit.GrantRequest{
			Report:     limit.Report{Router: "entry-123#1hlyev0kq0nl3", Seq: seq, Held: 3},
			WantTokens: 2, WantSlots: 1,
		}}
		var reply quota.GrantReply
		call("Grant", args, &reply)
		require.True(b, reply.Owner)
	}
	request()
	in, out, cpu := cnt.In.Load(), cnt.Out.Load(), processorTime(b)
	for b.Loop() {
		request()
	}
	cpu = processorTime(b) - cpu
	b.ReportMetric(float64(cnt.Out.Load()-out)/float64(b.N), "B-out/ask")
	b.ReportMetric(float64(cnt.In.Load()-in)/float64(b.N), "B-in/ask")
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/ask")
}

// ownedAccount returns an account that the router owns, or "".
func ownedAccount(q *quota.Quota, f *capacity.Fleet) string {
	for i := range f.Size.Accounts {
		var reply quota.GrantReply
		_ = q.Service().Grant(quota.GrantArgs{Account: capacity.AccountName(i)}, &reply)
		if reply.Owner {
			return capacity.AccountName(i)
		}
	}
	return ""
}

// BenchmarkAccountRequests counts the requests for leases per second of one
// account to its owner, under virtual time. Calls arrive as a Poisson process
// at random routers, and each lasts as long as a response of 300 tokens.
func BenchmarkAccountRequests(b *testing.B) {
	for _, routers := range []int{9, 36, 72, 144, 380} {
		for _, rate := range []float64{0.3, 3, 12, 40, 400} {
			b.Run(fmt.Sprintf("routers=%d/requests=%v", routers, rate), func(b *testing.B) {
				for b.Loop() {
					s := newAccountSimulation(routers, rate)
					s.run(accountSpan)
					b.ReportMetric(float64(s.requests)/accountSpan.Seconds(), "asks/s")
					b.ReportMetric(float64(s.requests)/float64(max(s.admitted, 1)), "asks/request")
					b.ReportMetric(float64(s.waited)/float64(max(s.admitted, 1)), "share-waited")
					b.ReportMetric(float64(s.refused), "refused")
				}
			})
		}
	}
}

const (
	accountSpan = time.Minute
	// answerTime is the duration of 300 tokens at 53 ms.
	answerTime = 16 * time.Second
	// renewPeriod is the period in which package quota checks its leases.
	renewPeriod = 500 * time.Millisecond
	account     = "account"
)

// accountSimulation simulates one account at all its routers. Its owner replies
// without delay.
type accountSimulation struct {
	rng    *rand.Rand
	now    time.Time
	rate   float64
	ledger *limit.Ledger
	caches []*limit.Cache
	queue  accountEvents

	requests, admitted, waited, refused int
}

type accountEvent struct {
	at     time.Time
	router int
	kind   accountEventKind
}

type accountEventKind int

const (
	callBegins accountEventKind = iota
	callEnds
	leasesRenewed
)

type accountEvents []accountEvent

// Len implements heap.Interface.
func (q accountEvents) Len() int { return len(q) }

// Less implements heap.Interface.
func (q accountEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }

// Swap implements heap.Interface.
func (q accountEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *accountEvents) Push(x any) { *q = append(*q, x.(accountEvent)) }

// Pop implements heap.Interface.
func (q *accountEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func newAccountSimulation(routers int, rate float64) *accountSimulation {
	s := &accountSimulation{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_000_000, 0), rate: rate}
	limits := limit.Limits{Rate: 1e6, Burst: 1e6, Concurrency: 1e6}
	s.ledger = limit.NewLedger(s.now, limits, 0, nil)
	var live []string
	for i := range routers {
		live = append(live, capacity.RouterName(i))
	}
	for i, name := range live {
		cfg := limit.CacheConfig{Self: name, Limits: func(string) limit.Limits { return limits }, Rand: s.rng}
		s.caches = append(s.caches, limit.NewCache(cfg, live))
		s.schedule(time.Duration(s.rng.Int64N(int64(renewPeriod))), i, leasesRenewed)
	}
	s.scheduleCall()
	return s
}

func (s *accountSimulation) schedule(after time.Duration, router int, kind accountEventKind) {
	heap.Push(&s.queue, accountEvent{s.now.Add(after), router, kind})
}

func (s *accountSimulation) scheduleCall() {
	gap := time.Duration(s.rng.ExpFloat64() / s.rate * float64(time.Second))
	s.schedule(gap, s.rng.IntN(len(s.caches)), callBegins)
}

// run lets the load build up, then counts over the span.
func (s *accountSimulation) run(span time.Duration) {
	s.runTo(s.now.Add(2 * answerTime))
	s.requests, s.admitted, s.waited, s.refused = 0, 0, 0, 0
	s.runTo(s.now.Add(span))
}

func (s *accountSimulation) runTo(end time.Time) {
	for s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(accountEvent)
		s.now = e.at
		s.step(e)
	}
	s.now = end
}

func (s *accountSimulation) step(e accountEvent) {
	c := s.caches[e.router]
	switch e.kind {
	case callBegins:
		s.scheduleCall()
		s.admit(c, e.router)
	case callEnds:
		c.Done(account)
	case leasesRenewed:
		s.schedule(renewPeriod, e.router, leasesRenewed)
		for range c.Due(s.now) {
			s.requestLease(c)
		}
	}
}

// admit admits a call as package quota does: as long as the cache neither admits
// nor refuses the call, admit requests leases and retries.
func (s *accountSimulation) admit(c *limit.Cache, router int) {
	const tries = 3
	for try := range tries {
		v := c.Take(s.now, account)
		if !v.OK && v.Err == nil {
			s.requestLease(c)
			continue
		}
		if !v.OK {
			break
		}
		if v.NeedRefill {
			s.requestLease(c)
		}
		s.admitted++
		if try > 0 {
			s.waited++
		}
		s.schedule(answerTime, router, callEnds)
		return
	}
	s.refused++
}

func (s *accountSimulation) requestLease(c *limit.Cache) {
	a, ok := c.NewRequest(s.now, account)
	if !ok {
		return
	}
	s.requests++
	c.Fill(s.now, account, s.ledger.Grant(s.now, a))
}
