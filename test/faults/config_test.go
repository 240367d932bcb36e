package faults

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/stretchr/testify/require"
)

// change is a scenario: an operator changes the configuration, the fault
// strikes, and the operator repeats the change with its id until the outcome
// is known. Two routers read the head; a third one only hears of it.
type change struct {
	*faultkit.World
	t        *testing.T
	mu       sync.Mutex
	operator *faultkit.Operator
	// hearer is the router that never reads the head.
	hearer *faultkit.Router
	// lose and reorder say what happens to announcements.
	lose, reorder, twice bool
	// killFirst kills the first router that announces the new head.
	killFirst bool
	// freezeFirst freezes it instead, while a further version is accepted.
	freezeFirst bool
	// holding holds announcements up in held; ended says that no more come.
	holding, ended bool
	held           []membership.Item
	raced          atomic.Bool
	// heard is the version that the hearer must get by announcements.
	heard uint64
	// hits counts the strikes at calls of the store.
	hits atomic.Int32
}

const (
	ourChange   = "ours"
	rivalChange = "rival"
	// settled is long enough for routers to learn of a version.
	settled = 20 * time.Second
)

// numbered is a valid bundle that differs from others by a comment.
func numbered(t testing.TB, n int) config.Bundle {
	b := exampleBundle(t)
	b.Base = append([]byte(fmt.Sprintf("# %d\n", n)), b.Base...)
	return b
}

func (s *change) request(id string, n int) config.Change {
	return config.Change{Bundle: numbered(s.t, n), Expected: 1, ChangeID: id, Author: id, Comment: "why"}
}

type changeCell struct {
	fault faultkit.Fault
	step  faultkit.Step
	arm   func(s *change)
	does  string
}

// The operator's calls, in their order.
func readsHead(c faultkit.StoreCall) bool { return c.Writes == nil && c.Table == config.TableHead }
func readsVersion(c faultkit.StoreCall) bool {
	return c.Writes == nil && c.Table == config.TableVersions
}
func commits(c faultkit.StoreCall) bool { return c.Use == platform.UseConfig && len(c.Writes) > 0 }

// atOperator strikes at a call of the operator.
func atOperator(matches func(faultkit.StoreCall) bool, after bool, fail error, strike func(*change)) func(*change) {
	return func(s *change) {
		s.operator.OnStore(faultkit.StoreTap{Matches: matches, After: after, Err: fail, Strike: func() {
			s.hits.Add(1)
			if strike != nil {
				strike(s)
			}
		}})
	}
}

// atRouters strikes at the same call of each router. A fault of one router is
// met by all, so that none can help another.
func atRouters(matches func(faultkit.StoreCall) bool, fail error, strike func(*change, *faultkit.Router)) func(*change) {
	return func(s *change) {
		for _, r := range s.Routers {
			r.OnStore(faultkit.StoreTap{Matches: matches, Err: fail, Strike: func() {
				s.hits.Add(1)
				if strike != nil {
					strike(s, r)
				}
			}})
		}
	}
}

var (
	readFailed  = platform.ErrUnavailable.New("cut")
	outcomeLost = platform.ErrOutcomeUnknown.New("reply lost")
)

func operatorKilled(s *change) { s.operator.Gate.Kill() }
func operatorFrozen(s *change) {
	s.operator.Gate.Freeze()
	time.AfterFunc(ages, s.operator.Gate.Thaw)
}
func outage(s *change) {
	s.Platform.SetDown(true)
	time.AfterFunc(ages, func() { s.Platform.SetDown(false) })
}
func slow(s *change)   { time.Sleep(3 * time.Second) }
func silent(s *change) { time.Sleep(ages) }

// rival accepts another change from the same version.
func rival(s *change) {
	s.raced.Store(true)
	_, err := s.NewOperator().Chain.Accept(context.Background(), s.request(rivalChange, 3))
	require.NoError(s.t, err)
}

func rivalThenLost(s *change) {
	rival(s)
	s.Platform.Script(platformtest.OpCommit, platformtest.LoseBeforeEffect)
}

func commitMeets(f platformtest.Fault) func(*change) {
	return func(s *change) { s.Platform.Script(platformtest.OpCommit, f) }
}

func lateCommit(s *change) {
	commitMeets(platformtest.LateEffect)(s)
	time.AfterFunc(ages, s.Platform.DeliverLate)
}

// overtaken holds the commit up until another change has been accepted. The
// process is killed, so that it does not repeat the commit at once.
func overtaken(s *change) {
	s.Platform.Script(platformtest.OpCommit, platformtest.LateEffect)
	time.AfterFunc(time.Millisecond, func() {
		rival(s)
		s.Platform.DeliverLate()
	})
	operator := s.operator
	s.operator.OnStore(faultkit.StoreTap{Matches: commits, After: true, Strike: operator.Gate.Kill})
}

// lostThenOutage lets the commit take effect, its reply be lost and the store
// go down at once.
func lostThenOutage(s *change) { outage(s) }

func routerKilled(s *change, r *faultkit.Router) {
	if r != s.hearer {
		r.Gate.Kill()
	}
}
func routerFrozen(_ *change, r *faultkit.Router) {
	r.Gate.Freeze()
	time.AfterFunc(ages, r.Gate.Thaw)
}

// passedBy freezes a router while a further change is accepted.
func (s *change) passedBy(r *faultkit.Router) {
	s.hits.Add(1)
	r.Gate.Freeze()
	time.AfterFunc(ages/2, func() { follow(s) })
	time.AfterFunc(ages, r.Gate.Thaw)
}

// hearerPassedBy freezes the router that only hears of heads. What it is told
// meanwhile waits for it, and is all that it hears.
func hearerPassedBy(s *change) {
	s.heard = 3
	atOperator(commits, false, nil, func(s *change) {
		s.passedBy(s.hearer)
		s.set(func() { s.holding = true })
		time.AfterFunc(ages, s.deliverHeld)
	})(s)
}

// deliverHeld delivers the announcements that were held up, the oldest last.
func (s *change) deliverHeld() {
	s.set(func() { s.holding, s.ended = false, true })
	for _, item := range slices.Backward(s.held) {
		s.hearer.Configs.Heard(item)
	}
}

// announcerPassedBy freezes the first router that announces the new head. Its
// announcement comes when the next version is in force elsewhere.
func announcerPassedBy(s *change) {
	s.heard = 3
	s.freezeFirst = true
}

var changeCells = []changeCell{
	{faultkit.Kill, faultkit.ConfigRead, atOperator(readsHead, false, nil, operatorKilled), "process killed as it reads the head"},
	{faultkit.Freeze, faultkit.ConfigRead, atOperator(readsHead, false, nil, operatorFrozen), "process frozen as it reads the head"},
	{faultkit.CutBoth, faultkit.ConfigRead, atOperator(readsHead, false, readFailed, nil), "store connection cut at the head"},
	{faultkit.CutOneWay, faultkit.ConfigRead, atOperator(readsHead, false, readFailed, nil), "head's reply lost one way"},
	{faultkit.Silent, faultkit.ConfigRead, atOperator(readsHead, false, readFailed, silent), "store connection silent at the head"},
	{faultkit.ReplyLate, faultkit.ConfigRead, atOperator(readsHead, false, nil, silent), "head comes late and may be old by then"},
	{faultkit.StoreDown, faultkit.ConfigRead, atOperator(readsHead, false, nil, outage), "store down as the head is read"},
	{faultkit.StoreSlow, faultkit.ConfigRead, atOperator(readsHead, false, nil, slow), "store slow as the head is read"},
	{faultkit.Race, faultkit.ConfigRead, atOperator(readsHead, false, nil, rival), "another change accepted before the head is read"},

	{faultkit.Kill, faultkit.Check, atOperator(readsVersion, false, nil, operatorKilled), "process killed as it checks the change"},
	{faultkit.Freeze, faultkit.Check, atOperator(readsVersion, false, nil, func(s *change) { rival(s); operatorFrozen(s) }), "process frozen as it checks, another change accepted meanwhile"},
	{faultkit.CutBoth, faultkit.Check, atOperator(readsVersion, false, readFailed, nil), "store connection cut at the check"},
	{faultkit.CutOneWay, faultkit.Check, atOperator(readsVersion, false, readFailed, nil), "reply lost one way at the check"},
	{faultkit.Silent, faultkit.Check, atOperator(readsVersion, false, readFailed, silent), "store connection silent at the check"},
	{faultkit.ReplyLate, faultkit.Check, atOperator(readsVersion, false, nil, silent), "checked version comes late"},
	{faultkit.StoreDown, faultkit.Check, atOperator(readsVersion, false, nil, outage), "store down at the check"},
	{faultkit.StoreSlow, faultkit.Check, atOperator(readsVersion, false, nil, slow), "store slow at the check"},
	{faultkit.Race, faultkit.Check, atOperator(readsVersion, false, nil, rival), "another change accepted after the head was read: typed conflict"},

	{faultkit.Kill, faultkit.Commit, atOperator(commits, false, nil, operatorKilled), "process killed before the commit leaves"},
	{faultkit.Kill, faultkit.Commit, atOperator(commits, true, nil, operatorKilled), "process killed after the commit took effect; repeated elsewhere by its id"},
	{faultkit.Freeze, faultkit.Commit, atOperator(commits, false, nil, func(s *change) { rival(s); operatorFrozen(s) }), "process frozen before the commit, another change accepted meanwhile"},
	{faultkit.CutBoth, faultkit.Commit, atOperator(commits, false, nil, commitMeets(platformtest.LoseBeforeEffect)), "commit lost before its effect"},
	{faultkit.CutOneWay, faultkit.Commit, atOperator(commits, false, nil, commitMeets(platformtest.LoseReplyAfterEffect)), "store's replies lost from the commit on"},
	{faultkit.Silent, faultkit.Commit, atOperator(commits, false, outcomeLost, silent), "store connection silent at the commit"},
	{faultkit.ReplyLost, faultkit.Commit, atOperator(commits, false, nil, commitMeets(platformtest.LoseReplyAfterEffect)), "reply lost after the commit took effect; settled by the change id"},
	{faultkit.ReplyLate, faultkit.Commit, atOperator(commits, false, nil, lateCommit), "first copy of the commit takes effect last"},
	{faultkit.Duplicate, faultkit.Commit, atOperator(commits, false, nil, commitMeets(platformtest.Duplicate)), "commit delivered twice"},
	{faultkit.Reorder, faultkit.Commit, atOperator(commits, false, nil, overtaken), "commit held up on its way and overtaken by another change: it has no effect any more"},
	{faultkit.StoreDown, faultkit.Commit, atOperator(commits, false, nil, outage), "store down at the commit: nothing accepted"},
	{faultkit.StoreSlow, faultkit.Commit, atOperator(commits, false, nil, slow), "store slow at the commit"},
	{faultkit.Race, faultkit.Commit, atOperator(commits, false, nil, rival), "another change committed first: typed conflict, nothing of the loser in force"},
	{faultkit.RaceLost, faultkit.Commit, atOperator(commits, false, nil, rivalThenLost), "another change committed first and the loser's reply lost: no false success"},
	{faultkit.LostDown, faultkit.Commit, atOperator(commits, true, outcomeLost, lostThenOutage), "commit takes effect, its reply is lost, the store goes down: unknown, then settled by the change id"},

	{faultkit.Kill, faultkit.Propagate, func(s *change) { s.killFirst = true }, "router killed as it announces the head, before anybody hears of it; the other reader announces it"},
	{faultkit.Freeze, faultkit.Propagate, hearerPassedBy, "router frozen while two versions are announced, then thawed: it ends at the newest"},
	{faultkit.Freeze, faultkit.Propagate, announcerPassedBy, "router frozen as it announces the head; the announcement comes when the next version is in force"},
	{faultkit.CutBoth, faultkit.Propagate, func(s *change) { s.lose = true }, "announcements lost for a while"},
	{faultkit.Duplicate, faultkit.Propagate, func(s *change) { s.twice = true }, "announcements delivered twice"},
	{faultkit.Reorder, faultkit.Propagate, func(s *change) { s.reorder = true }, "announcement of the earlier head delivered after the later one"},
	{faultkit.StoreDown, faultkit.Propagate, func(s *change) {
		atOperator(commits, true, nil, outage)(s)
	}, "store down from the commit on: nothing reverts, the version is in force after the outage"},
	{faultkit.ReplyLate, faultkit.Propagate, atOperator(commits, true, nil, func(s *change) { s.set(func() { s.lose = true }) }), "announcements late"},

	{faultkit.Kill, faultkit.Apply, atRouters(readsVersion, nil, routerKilled), "routers killed as they fetch the version; the others go on"},
	{faultkit.Freeze, faultkit.Apply, atRouters(readsVersion, nil, routerFrozen), "routers frozen as they fetch the version, thawed later"},
	{faultkit.CutBoth, faultkit.Apply, atRouters(readsVersion, readFailed, nil), "store connection cut at the version"},
	{faultkit.CutOneWay, faultkit.Apply, atRouters(readsVersion, readFailed, nil), "version's reply lost one way"},
	{faultkit.Silent, faultkit.Apply, atRouters(readsVersion, readFailed, func(*change, *faultkit.Router) { time.Sleep(ages / 2) }), "store connection silent at the version"},
	{faultkit.ReplyLate, faultkit.Apply, atRouters(readsVersion, nil, func(*change, *faultkit.Router) { time.Sleep(ages / 2) }), "version comes late"},
	{faultkit.StoreDown, faultkit.Apply, atRouters(readsVersion, nil, func(s *change, _ *faultkit.Router) { outage(s) }), "store down as the version is fetched: the old one stays in force, then the new one comes"},
	{faultkit.StoreSlow, faultkit.Apply, atRouters(readsVersion, nil, func(*change, *faultkit.Router) { time.Sleep(3 * time.Second) }), "store slow as the version is fetched"},
	{faultkit.Race, faultkit.Apply, atRouters(readsVersion, nil, func(s *change, _ *faultkit.Router) { follow(s) }), "a further change accepted while the version is fetched: routers end at the last"},
}

// follow accepts a change on top of the one that is being fetched, once.
func follow(s *change) {
	next := s.request(rivalChange, 4)
	next.Expected = 2
	_, _ = s.NewOperator().Chain.Accept(context.Background(), next)
}

func changeProofs() proofs {
	p := proofs{}
	for _, c := range changeCells {
		p.add(c.fault, c.step, proof{
			promises: []faultkit.Promise{faultkit.ConfigHolds},
			does:     "change: " + c.does,
			run:      func(t *testing.T) { runChange(t, c) },
		})
	}
	return p
}

// Symptom: a change that was accepted is not in force somewhere, comes back to
// an earlier one, is in force twice, or is reported as refused.
// Sequence: the fault strikes at the step; the operator repeats the change,
// through another process if the first was killed; the fault ends.
// Cause: a missing reply is taken for success or failure, or a router goes
// back to what a late message names.
func runChange(t *testing.T, c changeCell) {
	inWorld(t, 3, faultkit.Options{}, func(t *testing.T, w *faultkit.World) {
		s := &change{World: w, t: t, operator: w.NewOperator(), hearer: w.Routers[2], heard: 2}
		s.deafen()
		s.OnAnnounce(s.spread)
		s.set(func() { c.arm(s) })
		stop := s.watchVersions()
		defer stop()
		result := make(chan error, 1)
		go func() { result <- s.apply() }()
		err := <-result
		time.Sleep(2 * ages)
		s.requireHeard(c)
		s.OnAnnounce(nil)
		s.hearer.Reconnect()
		time.Sleep(settled)
		synctest.Wait()
		stop()
		require.True(t, c.step == faultkit.Propagate || s.hits.Load() > 0, "the fault strikes")
		s.judge(err)
	})
}

// requireHeard demands that the router that only hears of heads is up to date
// where announcements go through.
func (s *change) requireHeard(c changeCell) {
	if c.step == faultkit.Propagate && !s.lose {
		require.Equal(s.t, s.heard, s.hearer.Board.Snapshot().ConfigVersion)
	}
}

// deafen keeps the third router from reading the head, as the duty of reading
// it is that of two routers only.
func (s *change) deafen() {
	s.hearer.OnStore(faultkit.StoreTap{Deny: true, Matches: readsHead})
}

// set changes what happens to announcements.
func (s *change) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// spread carries an announcement to the router that only hears of heads.
func (s *change) spread(from *faultkit.Router, item membership.Item) {
	s.mu.Lock()
	lose, twice, reorder := s.lose || s.ended, s.twice, s.reorder
	if s.holding && from != s.hearer {
		s.held = append(s.held, item)
		lose = true
	}
	kill := s.killFirst && item.Version > 1
	s.killFirst = s.killFirst && !kill
	freeze := s.freezeFirst && item.Version > 1
	s.freezeFirst = s.freezeFirst && !freeze
	s.mu.Unlock()
	if from == s.hearer || lose {
		return
	}
	if kill {
		from.Gate.Kill()
		return
	}
	if freeze {
		s.passedBy(from)
		// The announcement is under way, and is the last that gets through.
		_ = from.Gate.Pass()
		s.set(func() { s.ended = true })
	}
	s.hearer.Configs.Heard(item)
	if twice {
		s.hearer.Configs.Heard(item)
	}
	if reorder {
		s.hearer.Configs.Heard(membership.Item{Kind: item.Kind, Key: item.Key, Version: 1, Value: make([]byte, len(item.Value))})
	}
}

// apply repeats the change until its outcome is known, as its operator does.
func (s *change) apply() error {
	ctx := context.Background()
	for {
		_, err := s.operator.Chain.Accept(ctx, s.request(ourChange, 2))
		var conflict *config.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return err
		}
		if s.operator.Gate.Pass() != nil {
			s.operator = s.NewOperator()
		}
		time.Sleep(time.Second)
	}
}

// watchVersions fails the test when a router's version falls.
func (s *change) watchVersions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	seen := make(map[string]uint64)
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			for _, r := range s.Routers {
				now := r.Board.Snapshot().ConfigVersion
				if now < seen[r.Name] {
					s.t.Errorf("router %s went back from version %d to %d", r.Name, seen[r.Name], now)
				}
				seen[r.Name] = now
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// judge compares what the operator was told with the chain and the routers.
func (s *change) judge(result error) {
	chain := config.NewChain(s.Platform, s.Platform.Objects(), time.Now)
	versions, err := chain.History(context.Background(), 1, config.MaxHistory)
	require.NoError(s.t, err)
	ours := 0
	for _, v := range versions {
		if v.ChangeID == ourChange {
			ours++
		}
	}
	if result == nil {
		require.Equal(s.t, 1, ours, "accepted once")
	} else {
		require.True(s.t, s.raced.Load(), "%v", result)
		require.Zero(s.t, ours, "the loser of a race is not in force")
	}
	last := versions[len(versions)-1]
	for _, r := range s.Routers {
		if r.Gate.Dead() {
			continue
		}
		snap := r.Board.Snapshot()
		require.Equal(s.t, last.Number, snap.ConfigVersion, r.Name)
		require.True(s.t, bytes.Equal(last.Hash[:], hashOf(r)), "%s has the content of the version", r.Name)
	}
}

func hashOf(r *faultkit.Router) []byte {
	h := r.Configs.InForceNow().Hash
	return h[:]
}
