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

// changeScenario changes the configuration, injects the fault, and repeats the change with the same ID
// until the outcome is known. Two routers read the head; the third one receives it by announcements
// only.
type changeScenario struct {
	*faultkit.Cluster
	t        *testing.T
	mu       sync.Mutex
	operator *faultkit.Operator
	// announcedRouter is the router that receives the head by announcements only. Its
	// reads of the head are denied until the announcements have been checked.
	announcedRouter *faultkit.Router
	// These select the faults of announcements.
	dropAnnouncements, reorderAnnouncements, duplicateAnnouncements bool
	// killFirst kills the first router that announces the new head.
	killFirst bool
	// freezeFirst freezes the first router that announces the new head. It stays frozen
	// while another version is accepted.
	freezeFirst bool
	// holdAnnouncements collects announcements in heldAnnouncements instead of
	// delivering them. announcementsEnded drops all further ones.
	holdAnnouncements, announcementsEnded bool
	heldAnnouncements                     []membership.Item
	conflicted                            atomic.Bool
	// announcedVersion is the version that announcedRouter must reach by announcements.
	announcedVersion uint64
	// injections counts the faults injected at calls of the store.
	injections atomic.Int32
}

const (
	changeID            = "ours"
	conflictingChangeID = "rival"
	// propagationTime is long enough for a version to reach all routers.
	propagationTime = 20 * time.Second
)

// numberedBundle returns a valid bundle that differs from others by a comment.
func numberedBundle(t testing.TB, n int) config.Bundle {
	b := exampleBundle(t)
	b.Base = append([]byte(fmt.Sprintf("# %d\n", n)), b.Base...)
	return b
}

func (s *changeScenario) request(id string, n int) config.Change {
	return config.Change{Bundle: numberedBundle(s.t, n), Expected: 1, ChangeID: id, Author: id, Comment: "why"}
}

type changeCell struct {
	fault       faultkit.Fault
	step        faultkit.Step
	inject      func(s *changeScenario)
	description string
}

// The operator's calls, in their order.
func isHeadRead(c faultkit.StoreCall) bool { return c.Writes == nil && c.Table == config.TableHead }
func isVersionRead(c faultkit.StoreCall) bool {
	return c.Writes == nil && c.Table == config.TableVersions
}
func isConfigCommit(c faultkit.StoreCall) bool {
	return c.Use == platform.UseConfig && len(c.Writes) > 0
}

// onOperatorCall injects a fault at the first matching call of the operator.
func onOperatorCall(matches func(faultkit.StoreCall) bool, after bool, fail error, inject func(*changeScenario)) func(*changeScenario) {
	return func(s *changeScenario) {
		s.operator.OnStore(faultkit.StoreTrigger{Matches: matches, After: after, Err: fail, Strike: func() {
			s.injections.Add(1)
			if inject != nil {
				inject(s)
			}
		}})
	}
}

// onRouterCalls injects a fault at the first matching call of every router, so that no
// router can get the version from another.
func onRouterCalls(matches func(faultkit.StoreCall) bool, fail error, inject func(*changeScenario, *faultkit.Router)) func(*changeScenario) {
	return func(s *changeScenario) {
		for _, r := range s.Routers {
			r.OnStore(faultkit.StoreTrigger{Matches: matches, Err: fail, Strike: func() {
				s.injections.Add(1)
				if inject != nil {
					inject(s, r)
				}
			}})
		}
	}
}

var (
	errReadFailed     = platform.ErrUnavailable.New("cut")
	errOutcomeUnknown = platform.ErrOutcomeUnknown.New("reply lost")
)

func killOperator(s *changeScenario) { s.operator.Gate.Kill() }
func freezeOperator(s *changeScenario) {
	s.operator.Gate.Freeze()
	time.AfterFunc(pastDeadlines, s.operator.Gate.Thaw)
}
func storeOutage(s *changeScenario) {
	s.Platform.SetDown(true)
	time.AfterFunc(pastDeadlines, func() { s.Platform.SetDown(false) })
}
func storeSlow(s *changeScenario)  { time.Sleep(3 * time.Second) }
func stallStore(s *changeScenario) { time.Sleep(pastDeadlines) }

// acceptConflictingChange accepts another change that is based on the same version.
func acceptConflictingChange(s *changeScenario) {
	s.conflicted.Store(true)
	_, err := s.NewOperator().Chain.Accept(context.Background(), s.request(conflictingChangeID, 3))
	require.NoError(s.t, err)
}

func conflictThenLostReply(s *changeScenario) {
	acceptConflictingChange(s)
	s.Platform.Script(platformtest.OpCommit, platformtest.LoseBeforeEffect)
}

func failCommitOf(f platformtest.Fault) func(*changeScenario) {
	return func(s *changeScenario) { s.Platform.Script(platformtest.OpCommit, f) }
}

func delayCommit(s *changeScenario) {
	failCommitOf(platformtest.LateEffect)(s)
	time.AfterFunc(pastDeadlines, s.Platform.DeliverLate)
}

// overtakeCommit delays the commit until another change has been accepted. It kills the
// process, which would otherwise repeat the commit at once.
func overtakeCommit(s *changeScenario) {
	s.Platform.Script(platformtest.OpCommit, platformtest.LateEffect)
	time.AfterFunc(time.Millisecond, func() {
		acceptConflictingChange(s)
		s.Platform.DeliverLate()
	})
	operator := s.operator
	s.operator.OnStore(faultkit.StoreTrigger{Matches: isConfigCommit, After: true, Strike: operator.Gate.Kill})
}

// outageAfterCommit starts an outage of the store. It is used after the commit, whose reply is
// lost.
func outageAfterCommit(s *changeScenario) { storeOutage(s) }

func killHeadReader(s *changeScenario, r *faultkit.Router) {
	if r != s.announcedRouter {
		r.Gate.Kill()
	}
}
func freezeReadingRouter(_ *changeScenario, r *faultkit.Router) {
	r.Gate.Freeze()
	time.AfterFunc(pastDeadlines, r.Gate.Thaw)
}

// freezeDuringChange freezes a router while another change is accepted.
func (s *changeScenario) freezeDuringChange(r *faultkit.Router) {
	s.injections.Add(1)
	r.Gate.Freeze()
	time.AfterFunc(pastDeadlines/2, func() { acceptNextChange(s) })
	time.AfterFunc(pastDeadlines, r.Gate.Thaw)
}

// freezeAnnouncedRouter freezes the router that receives heads by announcements only. Announcements
// made meanwhile are delivered when it is thawed; all later ones are dropped.
func freezeAnnouncedRouter(s *changeScenario) {
	s.announcedVersion = 3
	onOperatorCall(isConfigCommit, false, nil, func(s *changeScenario) {
		s.freezeDuringChange(s.announcedRouter)
		s.update(func() { s.holdAnnouncements = true })
		time.AfterFunc(pastDeadlines, s.deliverHeld)
	})(s)
}

// deliverHeld delivers the held announcements, the oldest last.
func (s *changeScenario) deliverHeld() {
	s.update(func() { s.holdAnnouncements, s.announcementsEnded = false, true })
	for _, item := range slices.Backward(s.heldAnnouncements) {
		s.announcedRouter.Configs.ReceiveHead(item)
	}
}

// freezeAnnouncer freezes the first router that announces the new head. Its
// announcement arrives when the next version is active elsewhere.
func freezeAnnouncer(s *changeScenario) {
	s.announcedVersion = 3
	s.freezeFirst = true
}

var changeCells = []changeCell{
	{faultkit.Kill, faultkit.ConfigRead, onOperatorCall(isHeadRead, false, nil, killOperator), "process killed as it reads the head"},
	{faultkit.Freeze, faultkit.ConfigRead, onOperatorCall(isHeadRead, false, nil, freezeOperator), "process frozen as it reads the head"},
	{faultkit.CutBoth, faultkit.ConfigRead, onOperatorCall(isHeadRead, false, errReadFailed, nil), "store connection cut at the head"},
	{faultkit.CutOneWay, faultkit.ConfigRead, onOperatorCall(isHeadRead, false, errReadFailed, nil), "reply of the head lost one way"},
	{faultkit.Silent, faultkit.ConfigRead, onOperatorCall(isHeadRead, false, errReadFailed, stallStore), "store connection silent at the head"},
	{faultkit.ReplyLate, faultkit.ConfigRead, onOperatorCall(isHeadRead, false, nil, stallStore), "head arrives late and may be outdated by then"},
	{faultkit.StoreDown, faultkit.ConfigRead, onOperatorCall(isHeadRead, false, nil, storeOutage), "store down as the head is read"},
	{faultkit.StoreSlow, faultkit.ConfigRead, onOperatorCall(isHeadRead, false, nil, storeSlow), "store slow as the head is read"},
	{faultkit.OperatorRace, faultkit.ConfigRead, onOperatorCall(isHeadRead, false, nil, acceptConflictingChange), "another change accepted before the head is read"},

	{faultkit.Kill, faultkit.Check, onOperatorCall(isVersionRead, false, nil, killOperator), "process killed as it checks the change"},
	{faultkit.Freeze, faultkit.Check, onOperatorCall(isVersionRead, false, nil, func(s *changeScenario) { acceptConflictingChange(s); freezeOperator(s) }), "process frozen as it checks, another change accepted meanwhile"},
	{faultkit.CutBoth, faultkit.Check, onOperatorCall(isVersionRead, false, errReadFailed, nil), "store connection cut at the check"},
	{faultkit.CutOneWay, faultkit.Check, onOperatorCall(isVersionRead, false, errReadFailed, nil), "reply lost one way at the check"},
	{faultkit.Silent, faultkit.Check, onOperatorCall(isVersionRead, false, errReadFailed, stallStore), "store connection silent at the check"},
	{faultkit.ReplyLate, faultkit.Check, onOperatorCall(isVersionRead, false, nil, stallStore), "checked version arrives late"},
	{faultkit.StoreDown, faultkit.Check, onOperatorCall(isVersionRead, false, nil, storeOutage), "store down at the check"},
	{faultkit.StoreSlow, faultkit.Check, onOperatorCall(isVersionRead, false, nil, storeSlow), "store slow at the check"},
	{faultkit.OperatorRace, faultkit.Check, onOperatorCall(isVersionRead, false, nil, acceptConflictingChange), "another change accepted after the head was read: typed conflict"},

	{faultkit.Kill, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, killOperator), "process killed before the commit is sent"},
	{faultkit.Kill, faultkit.Commit, onOperatorCall(isConfigCommit, true, nil, killOperator), "process killed after the commit took effect; repeated by another process with its id"},
	{faultkit.Freeze, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, func(s *changeScenario) { acceptConflictingChange(s); freezeOperator(s) }), "process frozen before the commit, another change accepted meanwhile"},
	{faultkit.CutBoth, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, failCommitOf(platformtest.LoseBeforeEffect)), "commit lost before its effect"},
	{faultkit.CutOneWay, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, failCommitOf(platformtest.LoseReplyAfterEffect)), "store's replies lost from the commit on"},
	{faultkit.Silent, faultkit.Commit, onOperatorCall(isConfigCommit, false, errOutcomeUnknown, stallStore), "store connection silent at the commit"},
	{faultkit.ReplyLost, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, failCommitOf(platformtest.LoseReplyAfterEffect)), "reply lost after the commit took effect; resolved by the change id"},
	{faultkit.ReplyLate, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, delayCommit), "first copy of the commit takes effect last"},
	{faultkit.Duplicate, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, failCommitOf(platformtest.Duplicate)), "commit delivered twice"},
	{faultkit.Reorder, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, overtakeCommit), "commit delayed and overtaken by another change: it has no effect"},
	{faultkit.StoreDown, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, storeOutage), "store down at the commit: nothing accepted"},
	{faultkit.StoreSlow, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, storeSlow), "store slow at the commit"},
	{faultkit.OperatorRace, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, acceptConflictingChange), "another change committed first: typed conflict, the rejected change is not active"},
	{faultkit.OperatorRaceReplyLost, faultkit.Commit, onOperatorCall(isConfigCommit, false, nil, conflictThenLostReply), "another change committed first and the reply to the rejected change lost: no false success"},
	{faultkit.ReplyLostStoreDown, faultkit.Commit, onOperatorCall(isConfigCommit, true, errOutcomeUnknown, outageAfterCommit), "commit takes effect, its reply is lost, the store goes down: unknown, then resolved by the change id"},

	{faultkit.Kill, faultkit.Propagate, func(s *changeScenario) { s.killFirst = true }, "router killed as it announces the head, before any router receives the announcement; the other reader announces it"},
	{faultkit.Freeze, faultkit.Propagate, freezeAnnouncedRouter, "router frozen while two versions are announced, then thawed: it ends with the newest version"},
	{faultkit.Freeze, faultkit.Propagate, freezeAnnouncer, "router frozen as it announces the head; the announcement arrives when the next version is active"},
	{faultkit.CutBoth, faultkit.Propagate, func(s *changeScenario) { s.dropAnnouncements = true }, "announcements lost temporarily"},
	{faultkit.Duplicate, faultkit.Propagate, func(s *changeScenario) { s.duplicateAnnouncements = true }, "announcements delivered twice"},
	{faultkit.Reorder, faultkit.Propagate, func(s *changeScenario) { s.reorderAnnouncements = true }, "announcement of the earlier head delivered after the later one"},
	{faultkit.StoreDown, faultkit.Propagate, func(s *changeScenario) {
		onOperatorCall(isConfigCommit, true, nil, storeOutage)(s)
	}, "store down from the commit on: nothing reverts, the version is active after the outage"},
	{faultkit.ReplyLate, faultkit.Propagate, onOperatorCall(isConfigCommit, true, nil, func(s *changeScenario) { s.update(func() { s.dropAnnouncements = true }) }), "announcements late"},

	{faultkit.Kill, faultkit.Apply, onRouterCalls(isVersionRead, nil, killHeadReader), "routers killed as they fetch the version; the others continue"},
	{faultkit.Freeze, faultkit.Apply, onRouterCalls(isVersionRead, nil, freezeReadingRouter), "routers frozen as they fetch the version, thawed later"},
	{faultkit.CutBoth, faultkit.Apply, onRouterCalls(isVersionRead, errReadFailed, nil), "store connection cut as the version is fetched"},
	{faultkit.CutOneWay, faultkit.Apply, onRouterCalls(isVersionRead, errReadFailed, nil), "reply of the version lost one way"},
	{faultkit.Silent, faultkit.Apply, onRouterCalls(isVersionRead, errReadFailed, func(*changeScenario, *faultkit.Router) { time.Sleep(pastDeadlines / 2) }), "store connection silent as the version is fetched"},
	{faultkit.ReplyLate, faultkit.Apply, onRouterCalls(isVersionRead, nil, func(*changeScenario, *faultkit.Router) { time.Sleep(pastDeadlines / 2) }), "version arrives late"},
	{faultkit.StoreDown, faultkit.Apply, onRouterCalls(isVersionRead, nil, func(s *changeScenario, _ *faultkit.Router) { storeOutage(s) }), "store down as the version is fetched: the old version stays active until the new one is fetched"},
	{faultkit.StoreSlow, faultkit.Apply, onRouterCalls(isVersionRead, nil, func(*changeScenario, *faultkit.Router) { time.Sleep(3 * time.Second) }), "store slow as the version is fetched"},
	{faultkit.OperatorRace, faultkit.Apply, onRouterCalls(isVersionRead, nil, func(s *changeScenario, _ *faultkit.Router) { acceptNextChange(s) }), "a further change accepted while the version is fetched: routers end with the last version"},
}

// acceptNextChange accepts a change on top of the version that is being fetched. Only the
// first call takes effect; later ones conflict with it.
func acceptNextChange(s *changeScenario) {
	next := s.request(conflictingChangeID, 4)
	next.Expected = 2
	_, _ = s.NewOperator().Chain.Accept(context.Background(), next)
}

func changeTests() cellTests {
	tests := cellTests{}
	for _, c := range changeCells {
		tests.add(c.fault, c.step, cellTest{
			guarantees:  []faultkit.Guarantee{faultkit.ConfigNeverReverts},
			description: "change: " + c.description,
			run:         func(t *testing.T) { runChange(t, c) },
		})
	}
	return tests
}

// runChange guards against an accepted change that is not active on some router, is applied twice,
// reverts to an earlier version, or is reported as rejected. Causes are a missing reply that is
// treated as success or failure, and a late announcement that makes a router return to an older
// version.
func runChange(t *testing.T, c changeCell) {
	inCluster(t, 3, faultkit.Options{}, func(t *testing.T, cl *faultkit.Cluster) {
		s := &changeScenario{Cluster: cl, t: t, operator: cl.NewOperator(), announcedRouter: cl.Routers[2], announcedVersion: 2}
		s.blockHeadReads()
		s.OnAnnounce(s.deliverAnnouncement)
		s.update(func() { c.inject(s) })
		stop := s.watchVersions()
		defer stop()
		result := make(chan error, 1)
		go func() { result <- s.acceptUntilKnown() }()
		err := <-result
		time.Sleep(2 * pastDeadlines)
		s.requireAnnounced(c)
		s.OnAnnounce(nil)
		s.announcedRouter.AllowStore()
		time.Sleep(propagationTime)
		synctest.Wait()
		stop()
		require.True(t, c.step == faultkit.Propagate || s.injections.Load() > 0, "the fault was injected")
		s.requireConsistent(err)
	})
}

// requireAnnounced requires that the router without head reads has announcedVersion,
// where announcements are delivered.
func (s *changeScenario) requireAnnounced(c changeCell) {
	if c.step == faultkit.Propagate && !s.dropAnnouncements {
		require.Equal(s.t, s.announcedVersion, s.announcedRouter.Board.Snapshot().ConfigVersion)
	}
}

// blockHeadReads keeps the third router from reading the head, since only two routers
// of a fleet read it.
func (s *changeScenario) blockHeadReads() {
	s.announcedRouter.OnStore(faultkit.StoreTrigger{Deny: true, Matches: isHeadRead})
}

// update changes the scenario's fields under its lock.
func (s *changeScenario) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// deliverAnnouncement delivers an announcement to the router without head reads, with
// the faults of the scenario.
func (s *changeScenario) deliverAnnouncement(from *faultkit.Router, item membership.Item) {
	s.mu.Lock()
	drop, duplicate, reorder := s.dropAnnouncements || s.announcementsEnded, s.duplicateAnnouncements, s.reorderAnnouncements
	if s.holdAnnouncements && from != s.announcedRouter {
		s.heldAnnouncements = append(s.heldAnnouncements, item)
		drop = true
	}
	kill := s.killFirst && item.Version > 1
	s.killFirst = s.killFirst && !kill
	freeze := s.freezeFirst && item.Version > 1
	s.freezeFirst = s.freezeFirst && !freeze
	s.mu.Unlock()
	if from == s.announcedRouter || drop {
		return
	}
	if kill {
		from.Gate.Kill()
		return
	}
	if freeze {
		s.freezeDuringChange(from)
		// This announcement is already in transit and is the last one delivered.
		_ = from.Gate.Pass()
		s.update(func() { s.announcementsEnded = true })
	}
	s.announcedRouter.Configs.ReceiveHead(item)
	if duplicate {
		s.announcedRouter.Configs.ReceiveHead(item)
	}
	if reorder {
		s.announcedRouter.Configs.ReceiveHead(membership.Item{Kind: item.Kind, Key: item.Key, Version: 1, Value: make([]byte, len(item.Value))})
	}
}

// acceptUntilKnown repeats the change until its outcome is known, through another
// process if the first was killed.
func (s *changeScenario) acceptUntilKnown() error {
	ctx := context.Background()
	for {
		_, err := s.operator.Chain.Accept(ctx, s.request(changeID, 2))
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

// watchVersions fails the test if a router's version decreases.
func (s *changeScenario) watchVersions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	seen := make(map[string]uint64)
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			for _, r := range s.Routers {
				now := r.Board.Snapshot().ConfigVersion
				if now < seen[r.Name] {
					s.t.Errorf("router %s reverted from version %d to %d", r.Name, seen[r.Name], now)
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

// requireConsistent compares the result that the operator got with the chain and the
// routers.
func (s *changeScenario) requireConsistent(result error) {
	chain := config.NewChain(s.Platform, s.Platform.Objects(), time.Now)
	versions, err := chain.History(context.Background(), 1, config.MaxHistory)
	require.NoError(s.t, err)
	accepted := 0
	for _, v := range versions {
		if v.ChangeID == changeID {
			accepted++
		}
	}
	if result == nil {
		require.Equal(s.t, 1, accepted, "the change is accepted once")
	} else {
		require.True(s.t, s.conflicted.Load(), "%v", result)
		require.Zero(s.t, accepted, "a rejected change is not active")
	}
	last := versions[len(versions)-1]
	for _, r := range s.Routers {
		if r.Gate.Dead() {
			continue
		}
		snap := r.Board.Snapshot()
		require.Equal(s.t, last.Number, snap.ConfigVersion, r.Name)
		require.True(s.t, bytes.Equal(last.Hash[:], activeHash(r)), "router %s has the content of the last version", r.Name)
	}
}

func activeHash(r *faultkit.Router) []byte {
	h := r.Configs.Active().Hash
	return h[:]
}
