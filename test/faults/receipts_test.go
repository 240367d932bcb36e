package faults

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/stretchr/testify/require"
)

// receiptScenario requests a receipt from router a, injects the fault, and retries with
// the same key at router b, then at a.
type receiptScenario struct {
	*faultkit.Cluster
	a, b *faultkit.Router
}

const receiptKey = "mill-17"

// receiptResult is the final result as the caller sees it.
type receiptResult string

const (
	// answered: the caller has the receipt, which was issued once.
	answered receiptResult = "answered"
	// blocked: the key is blocked, and the caller gets the error for an unknown outcome;
	// the receipt was issued once.
	blocked receiptResult = "blocked, issued once"
	// blockedNotExecuted: like blocked, but the receipt was never issued.
	blockedNotExecuted receiptResult = "blocked, never issued"
)

// receiptPoint is where a fault is injected into a receipt.
type receiptPoint struct {
	step faultkit.Step
	// addTrigger makes strike run once when router a reaches the step. The connection
	// is nil if the step is a call of the table service.
	addTrigger func(s *receiptScenario, strike func(*faultkit.Conn))
}

// receiptFault injects a fault at a point.
type receiptFault func(s *receiptScenario, c *faultkit.Conn)

func isClaimState(want claim.State) func(faultkit.StoreCall) bool {
	return func(c faultkit.StoreCall) bool { return c.State() == string(want) }
}

func onClaimWrite(state claim.State, after bool) func(*receiptScenario, func(*faultkit.Conn)) {
	return func(s *receiptScenario, strike func(*faultkit.Conn)) {
		s.a.OnStore(faultkit.StoreTrigger{Matches: isClaimState(state), After: after, Strike: func() { strike(nil) }})
	}
}

func onBytes(from, to string, dir faultkit.Direction, contains string) func(*receiptScenario, func(*faultkit.Conn)) {
	return func(s *receiptScenario, strike func(*faultkit.Conn)) {
		s.Net.AddTrigger(faultkit.Trigger{From: from, To: to, Dir: dir, Contains: []byte(contains), Strike: strike})
	}
}

// Points at which faults are injected, in the order in which a receipt passes them.
var (
	beforeClaim  = receiptPoint{faultkit.Claim, onClaimWrite(claim.StateClaimed, false)}
	afterClaim   = receiptPoint{faultkit.Claim, onClaimWrite(claim.StateClaimed, true)}
	requestSent  = receiptPoint{faultkit.Send, onBytes("a", "", faultkit.Out, "POST /receipts")}
	replyHead    = receiptPoint{faultkit.FirstByte, onBytes("a", "", faultkit.In, "HTTP/1.1 201")}
	beforeRecord = receiptPoint{faultkit.Record, onClaimWrite(claim.StateDone, false)}
	afterRecord  = receiptPoint{faultkit.Record, onClaimWrite(claim.StateDone, true)}
	answerSent   = receiptPoint{faultkit.Answer, onBytes(faultkit.Caller, "a", faultkit.In, "HTTP/1.1 201")}
)

func killRouter(s *receiptScenario, _ *faultkit.Conn)   { s.a.Gate.Kill() }
func freezeRouter(s *receiptScenario, _ *faultkit.Conn) { s.a.Gate.Freeze() }
func cutConn(_ *receiptScenario, c *faultkit.Conn)      { c.Cut() }
func dropReply(_ *receiptScenario, c *faultkit.Conn)    { c.Drop(faultkit.In) }
func dropBoth(_ *receiptScenario, c *faultkit.Conn)     { c.DropBoth() }
func storeDown(s *receiptScenario, _ *faultkit.Conn)    { s.Platform.SetDown(true) }

// delayReply delays the reply. With a delay beyond upstream.DefaultTransferTimeout the
// router has aborted the call by then.
func delayReply(d time.Duration) receiptFault {
	return func(_ *receiptScenario, c *faultkit.Conn) { c.DelayNext(func() { time.Sleep(d) }) }
}

// failCommit injects faults of the store into the next commits.
func failCommit(faults ...platformtest.Fault) receiptFault {
	return func(s *receiptScenario, _ *faultkit.Conn) { s.Platform.Script(platformtest.OpCommit, faults...) }
}

// delayStore delays the next call of the store by d, or until its context ends.
func delayStore(d time.Duration) receiptFault {
	return func(s *receiptScenario, _ *faultkit.Conn) { holdNextCall(s.Cluster, d) }
}

// loseReplyThenStoreDown loses the reply of the next commit and takes the store down
// right after it.
func loseReplyThenStoreDown(s *receiptScenario, _ *faultkit.Conn) {
	s.Platform.Script(platformtest.OpCommit, platformtest.LoseReplyAfterEffect)
	s.Platform.After(func(c platformtest.Call) {
		if c.Op == platformtest.OpCommit {
			s.Platform.After(nil)
			s.Platform.SetDown(true)
		}
	})
}

// receiptCell is a test of one cell of the matrix.
type receiptCell struct {
	fault       faultkit.Fault
	point       receiptPoint
	inject      receiptFault
	want        receiptResult
	description string
}

// pastDeadlines exceeds every deadline of routers and callers.
const pastDeadlines = time.Minute

var receiptCells = []receiptCell{
	{faultkit.Kill, afterClaim, killRouter, blockedNotExecuted, "router killed between the claim's effect and its reply; the key stays blocked, nothing was executed"},
	{faultkit.Freeze, afterClaim, freezeRouter, answered, "router frozen past every deadline with its claim written, then thawed; another router never takes the claim over"},
	{faultkit.CutBoth, beforeClaim, failCommit(platformtest.LoseBeforeEffect), answered, "store connection cut before the claim takes effect; the same token is written again"},
	{faultkit.CutOneWay, beforeClaim, failCommit(platformtest.LoseReplyAfterEffect), answered, "store's replies lost from the claim on; the row is read back by its token"},
	{faultkit.Silent, beforeClaim, delayStore(pastDeadlines), answered, "store connection silent during the claim; the write times out and is repeated with its token"},
	{faultkit.ReplyLost, afterClaim, failCommit(platformtest.LoseReplyAfterEffect), answered, "reply of the claim lost after its effect"},
	{faultkit.ReplyLate, beforeClaim, failCommit(platformtest.LateEffect), answered, "claim's first copy takes effect after the second and the receipt"},
	{faultkit.Reorder, beforeClaim, failCommit(platformtest.LateEffect, platformtest.LateEffect), answered, "first two copies of the claim overtaken by the third"},
	{faultkit.Duplicate, beforeClaim, failCommit(platformtest.Duplicate), answered, "claim delivered to the store twice"},
	{faultkit.StoreDown, beforeClaim, storeDown, answered, "store down at the claim: refused as not executed; after the outage the same key is executed once"},
	{faultkit.StoreSlow, beforeClaim, delayStore(3 * time.Second), answered, "store slower than the claim's timeout"},
	{faultkit.ReplyLostStoreDown, beforeClaim, loseReplyThenStoreDown, blockedNotExecuted, "claim takes effect, its reply is lost and the store goes down before the read-back: refused as not executed; the remaining row blocks the key elsewhere until its own router releases it"},
	{faultkit.ReplyLostTwice, beforeClaim, failCommit(platformtest.LoseReplyAfterEffect, platformtest.LoseReplyAfterEffect), answered, "replies of the claim and of the record both lost"},

	{faultkit.Kill, requestSent, killRouter, blockedNotExecuted, "router killed before the first byte is sent"},
	{faultkit.Freeze, requestSent, freezeRouter, blocked, "router frozen past every deadline as the request is written, then thawed"},
	{faultkit.CutBoth, requestSent, cutConn, blockedNotExecuted, "connection to the service cut while the request is written: nothing proves that it was not executed"},
	{faultkit.CutOneWay, requestSent, dropReply, blocked, "service executes, its reply never arrives"},
	{faultkit.Silent, requestSent, dropBoth, blockedNotExecuted, "request lost in a silent connection: never sent a second time"},
	{faultkit.StoreDown, requestSent, storeDown, answered, "store down after the request is sent: the answer reaches the caller and is recorded once the store is back"},

	{faultkit.Kill, replyHead, killRouter, blocked, "router killed with the service's reply unread: executed once, the key stays blocked"},
	{faultkit.Freeze, replyHead, freezeRouter, blocked, "router frozen past every deadline before it reads the reply, then thawed"},
	{faultkit.CutBoth, replyHead, cutConn, blocked, "connection cut after the execution, before the reply"},
	{faultkit.CutOneWay, replyHead, dropReply, blocked, "reply lost on the way back"},
	{faultkit.Silent, replyHead, dropBoth, blocked, "connection silent after the execution"},
	{faultkit.ReplyLost, replyHead, cutConn, blocked, "service's reply lost after it executed"},
	{faultkit.ReplyLate, replyHead, delayReply(pastDeadlines), blocked, "service's reply arrives long after the call was aborted"},

	{faultkit.Kill, beforeRecord, killRouter, blocked, "router killed before it records the answer"},
	{faultkit.Freeze, beforeRecord, freezeRouter, answered, "router frozen past every deadline before it records the answer, then thawed: it still records the answer"},
	{faultkit.CutBoth, beforeRecord, failCommit(platformtest.LoseBeforeEffect), answered, "store connection cut before the record takes effect"},
	{faultkit.CutOneWay, beforeRecord, failCommit(platformtest.LoseReplyAfterEffect), answered, "store's replies lost from the record on"},
	{faultkit.Silent, beforeRecord, delayStore(pastDeadlines), answered, "store connection silent during the record"},
	{faultkit.ReplyLost, afterRecord, failCommit(platformtest.LoseReplyAfterEffect), answered, "reply of the record lost after its effect"},
	{faultkit.ReplyLate, beforeRecord, failCommit(platformtest.LateEffect), answered, "record's first copy takes effect after the second"},
	{faultkit.Reorder, beforeRecord, failCommit(platformtest.LateEffect, platformtest.LateEffect), answered, "first two copies of the record overtaken by the third"},
	{faultkit.Duplicate, beforeRecord, failCommit(platformtest.Duplicate), answered, "record delivered to the store twice"},
	{faultkit.StoreDown, beforeRecord, storeDown, answered, "store down at the record: the caller has its answer, which is recorded once the store is back"},
	{faultkit.StoreSlow, beforeRecord, delayStore(3 * time.Second), answered, "store slower than the record's timeout"},
	{faultkit.ReplyLostStoreDown, beforeRecord, loseReplyThenStoreDown, answered, "record takes effect, its reply is lost and the store goes down before the read-back"},

	{faultkit.Kill, answerSent, killRouter, answered, "router killed before the answer reaches the caller; another router answers from the store"},
	{faultkit.Freeze, answerSent, freezeRouter, answered, "router frozen past every deadline before the answer is sent"},
	{faultkit.CutBoth, answerSent, cutConn, answered, "caller's connection cut before the answer"},
	{faultkit.CutOneWay, answerSent, dropReply, answered, "answer lost on the way to the caller"},
	{faultkit.Silent, answerSent, dropBoth, answered, "caller's connection silent before the answer"},
	{faultkit.ReplyLost, answerSent, cutConn, answered, "answer lost after everything took effect"},
	{faultkit.ReplyLate, answerSent, delayReply(pastDeadlines), answered, "answer arrives long after the deadline; the caller has retried meanwhile"},
	{faultkit.StoreDown, answerSent, storeDown, answered, "store down before the answer is sent"},
}

var receiptGuarantees = []faultkit.Guarantee{faultkit.OwnResponse, faultkit.NotExecuted, faultkit.AtMostOnce}

func receiptTests() cellTests {
	tests := cellTests{}
	for _, c := range receiptCells {
		tests.add(c.fault, c.point.step, cellTest{receiptGuarantees, "receipt: " + c.description, func(t *testing.T) { runReceipt(t, c) }})
	}
	tests.add(faultkit.Duplicate, faultkit.Admit, cellTest{receiptGuarantees, "receipt: the same request at two routers at the same moment", runReceiptDuplicate})
	tests.add(faultkit.ViewsDiffer, faultkit.Claim, cellTest{receiptGuarantees, "receipt: two routers that each see themselves as the whole fleet claim the same key", runReceiptDuplicate})
	tests.add(faultkit.AddressReused, faultkit.Send, cellTest{receiptGuarantees, "receipt: another service at the address refuses a request for its predecessor", runReceiptAddressReused})
	return tests
}

// runReceiptDuplicate guards against a receipt that is issued twice because copies of
// one request reach two routers at the same moment, and both look up the key before
// either has written it.
func runReceiptDuplicate(t *testing.T) {
	inCluster(t, 2, faultkit.Options{Services: 2}, func(t *testing.T, cl *faultkit.Cluster) {
		var both sync.WaitGroup
		for _, r := range cl.Routers {
			both.Go(func() { cl.RequestReceipt(r.Address, receiptKey) })
		}
		both.Wait()
		time.Sleep(lateArrivalTime)
		require.Equal(t, answered, resultOf(cl.RequestReceipt(cl.Routers[0].Address, receiptKey), 1))
		require.Equal(t, 1, cl.Oracle.Executions(receiptKey))
	})
}

// runReceiptAddressReused guards against identifying a service by its address. A service's
// VM is replaced by another service at its address before the VM list is updated; a
// receipt sent there would be issued by the wrong service, or twice.
func runReceiptAddressReused(t *testing.T) {
	inCluster(t, 1, faultkit.Options{Services: 1}, func(t *testing.T, cl *faultkit.Cluster) {
		cl.Routers[0].HoldVMList(true)
		cl.ReplaceService(0, "portal-9")
		refused := cl.RequestReceipt(cl.Routers[0].Address, receiptKey)
		require.True(t, refused.NotExecuted(), "%v", refused)
		require.Zero(t, cl.Oracle.Executions(receiptKey))
		cl.Routers[0].HoldVMList(false)
		time.Sleep(lateArrivalTime)
		require.True(t, cl.RequestReceipt(cl.Routers[0].Address, receiptKey).Answered())
	})
}

// runReceipt guards against a receipt that is issued twice, or that is reported as not
// issued although it was. Causes are a router that takes over another's claim, repeats a
// request that was sent, or treats a missing reply as a result. The caller retries with the same key at router b
// during the fault, and at both routers after its end.
func runReceipt(t *testing.T, c receiptCell) {
	inCluster(t, 2, faultkit.Options{Services: 2}, func(t *testing.T, cl *faultkit.Cluster) {
		s := &receiptScenario{Cluster: cl, a: cl.Routers[0], b: cl.Routers[1]}
		injected := false
		c.point.addTrigger(s, func(conn *faultkit.Conn) {
			injected = true
			c.inject(s, conn)
		})
		first := make(chan faultkit.Outcome, 1)
		go func() { first <- s.RequestReceipt(s.a.Address, receiptKey) }()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.True(t, injected, "the fault was injected")
		s.RequestReceipt(s.b.Address, receiptKey)
		s.endFault()
		<-first
		time.Sleep(recordRetryTime)
		executions := s.Oracle.Executions(receiptKey)
		last := s.retry(t)
		require.Equal(t, c.want, resultOf(last, executions), "%v", last)
	})
}

// recordRetryTime is the time within which a router retries to record a response; its
// longest delay is 45 s.
const recordRetryTime = time.Minute

// endFault ends the fault after a time in which every deadline passes, and delivers
// late effects.
func (s *receiptScenario) endFault() {
	time.Sleep(pastDeadlines)
	s.a.Gate.Thaw()
	s.Platform.SetDown(false)
	synctest.Wait()
	s.Platform.DeliverLate()
}

// retry repeats the request with the same key at both routers, as the caller would, and
// checks that it is not executed again and that a stored response is returned again. Router a may
// know more than b: that a claim was released before anything was sent.
func (s *receiptScenario) retry(t *testing.T) faultkit.Outcome {
	atB := s.RequestReceipt(s.b.Address, receiptKey)
	executions := s.Oracle.Executions(receiptKey)
	atA := s.RequestReceipt(s.a.Address, receiptKey)
	if atB.Answered() && atA.Err == nil {
		require.True(t, atA.Answered(), "%v, %v", atB, atA)
	}
	if executions == 1 {
		require.Equal(t, executions, s.Oracle.Executions(receiptKey))
	}
	return atB
}

// resultOf returns the result as the caller sees it. executions is the count before the last retry.
func resultOf(last faultkit.Outcome, executions int) receiptResult {
	switch {
	case last.Answered():
		return answered
	case last.Refusal != nil && last.Refusal.Ran != apierr.RanNo && executions == 1:
		return blocked
	case last.Refusal != nil && last.Refusal.Ran != apierr.RanNo && executions == 0:
		return blockedNotExecuted
	}
	return receiptResult(last.String())
}
