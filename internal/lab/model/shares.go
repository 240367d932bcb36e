package model

import (
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/fairshare"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// ShareMode is how Gated divides the engines among accounts.
type ShareMode uint8

const (
	// NoShares orders requests by urgency; accounts have shares only among the requests of one
	// urgency that wait at one gate.
	NoShares ShareMode = iota
	// MarkBeyond serves requests beyond their account's share of the whole service after all others.
	MarkBeyond
	// RefuseBeyond refuses them on arrival.
	RefuseBeyond
	// MarkEqually is MarkBeyond with equal weights instead of the usual demands.
	MarkEqually
)

// accountShares divides the service among accounts as the routers do: the sum of all routers' rates
// reaches each of them with the delay of load reports.
type accountShares struct {
	sim     *Simulation
	mode    ShareMode
	service *fairshare.Service
	// reported is what the routers know.
	reported map[string]fairshare.Grant
}

func newAccountShares(sim *Simulation, mode ShareMode) *accountShares {
	s := &accountShares{sim: sim, mode: mode, service: fairshare.NewService()}
	if mode != NoShares {
		sim.After(0, s.update)
	}
	return s
}

func (s *accountShares) update() {
	now := s.sim.Now()
	fleet := s.service.Rates(now)
	for account, rates := range fleet {
		if s.mode == MarkEqually {
			rates.Usual = 0
			fleet[account] = rates
		}
	}
	s.service.Update(now, fleet, func(string) int { return 0 })
	grants := s.service.Grants()
	s.sim.After(s.sim.config.ReportDelay, func() { s.reported = grants })
	s.sim.After(s.sim.config.ReportInterval, s.update)
}

// workOf returns the work of a request, as the routers estimate it.
func workOf(req *Request) float64 {
	return float64(max(req.UniqueTokens+outputTokenWeight*req.OutputTokens, 1))
}

func (s *accountShares) ask(req *Request) {
	s.service.Ask(s.sim.Now(), strconv.Itoa(req.Account), fairshare.Rank(req.Class.Urgency), workOf(req))
}

func (s *accountShares) grant(req *Request) {
	s.service.Grant(s.sim.Now(), strconv.Itoa(req.Account), workOf(req))
}

// beyond draws whether a request is beyond the share of its account, once for all attempts at it.
func (s *accountShares) beyond(req *Request) bool {
	grant, known := s.reported[strconv.Itoa(req.Account)]
	draw := rendezvous.Fraction(rendezvous.Score(uint64(req.ID), 0))
	return known && draw >= grant.Share[fairshare.Rank(req.Class.Urgency)]
}

// HotAccount returns a LoadFactor that is base, and times as much for one account between two times.
func HotAccount(base, times float64, account int, from, to time.Duration) func(time.Duration, int, int) float64 {
	return func(now time.Duration, _, of int) float64 {
		if of == account && now >= from && now < to {
			return base * times
		}
		return base
	}
}
