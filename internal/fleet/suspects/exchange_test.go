package suspects

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

func testSuspect(name string) quarantine.Suspect {
	c := quarantine.Content{Account: "first", Target: "/" + name}
	return quarantine.Suspect{Fingerprint: c.Fingerprint(), Hint: c.Hint(), Account: "first", Route: "r"}
}

// Guards against sending all suspects with each pull to a router of an earlier release.
func TestUnconfirmedSuspectsAreSentRarely(t *testing.T) {
	now := time.Hour
	s := NewSet(quarantine.DefaultLimits(), func() time.Duration { return now }, log.New(io.Discard))
	s.RecordEnd(quarantine.End{Engine: "e1", At: now}, []quarantine.Cut{{Request: testSuspect("q")}})
	var e Exchange
	sent := 0
	for range 100 {
		sent += len(e.Request("old", s, now).Records)
		now += 150 * time.Millisecond
	}
	require.LessOrEqual(t, sent, 16)
	e.HandleReply("old", &Reply{Instance: 1}, s, now)
	require.Len(t, e.Request("old", s, now).Records, 1, "the router was replaced by one of this release")
	require.Len(t, e.Request("old", s, now).Records, 1)
}

// Guards against a malformed record that is taken for a suspect, or that hides others.
func TestMalformedSuspectRecordsAreSkipped(t *testing.T) {
	now := time.Hour
	s := NewSet(quarantine.DefaultLimits(), func() time.Duration { return now }, log.New(io.Discard))
	end := []quarantine.End{{Engine: "e1", At: now}}
	records := newRecords([]quarantine.Entry{
		{Suspect: testSuspect("q"), Ends: end, ChangedAt: now}, {Suspect: quarantine.Suspect{Part: quarantine.NewPart("svc", "1a")}, Ends: end, ChangedAt: now},
	}, now)
	bad, badPart := records.Requests[0], records.Parts[0]
	bad.Fingerprint = bad.Fingerprint[1:]
	badPart.ID = ""
	records.Requests, records.Parts = append([]Record{bad}, records.Requests...), append([]PartRecord{badPart}, records.Parts...)
	s.Merge(records.entries(now), "x")
	require.Len(t, s.Entries(), 2)
}

// BenchmarkRecord reports the size of a suspected request and of a suspected part in a message to another
// router, in bytes.
func BenchmarkRecord(b *testing.B) {
	size := func(n int, parts bool) int {
		var buf bytes.Buffer
		args := Args{From: "front-ank-a-1", Revision: 17}
		for i := range n {
			suspect := quarantine.Suspect{Fingerprint: testSuspect(fmt.Sprint(i)).Fingerprint, Hint: 1 << 30, Account: "goje49", Route: "r-jcga7wj"}
			end := quarantine.End{Engine: "i-59a4a038e8", Site: "hall-kista", At: 0, Peers: 12, Answered: 45 * time.Millisecond, Exposure: 300 * time.Millisecond}
			if parts {
				suspect = quarantine.Suspect{Part: quarantine.NewPart("xany15a", fmt.Sprintf("5c1e%04x", i)), Account: "goje49", Route: "r-jcga7wj"}
				end.Requests = []uint64{1 << 63}
			}
			records := newRecords([]quarantine.Entry{{Suspect: suspect, Ends: []quarantine.End{end}}}, 300*time.Millisecond)
			args.Records, args.Parts = append(args.Records, records.Requests...), append(args.Parts, records.Parts...)
		}
		if err := gob.NewEncoder(&buf).Encode(args); err != nil {
			b.Fatal(err)
		}
		return buf.Len()
	}
	for b.Loop() {
		_ = size(10, false)
	}
	b.ReportMetric(float64(size(110, false)-size(10, false))/100, "B/request")
	b.ReportMetric(float64(size(110, true)-size(10, true))/100, "B/part")
}

// Guards against two routers that send each other everything again and again because a reply had
// nothing to say.
func TestEmptyReplyKeepsTheExchange(t *testing.T) {
	clock := func() time.Duration { return time.Hour }
	a, b := NewSet(quarantine.DefaultLimits(), clock, log.New(io.Discard)), NewSet(quarantine.DefaultLimits(), clock, log.New(io.Discard))
	a.RecordEnd(quarantine.End{Engine: "e1", At: time.Hour}, []quarantine.Cut{{Request: testSuspect("q")}})
	var e Exchange
	for i := range 5 {
		args := e.Request("b", a, time.Hour)
		require.Equal(t, i == 0, len(args.Records) == 1, i)
		b.Receive("a", args, time.Hour)
		reply := b.Reply("a", args, time.Hour)
		if reply == nil {
			reply = &Reply{}
		}
		e.HandleReply("b", reply, a, time.Hour)
	}
	require.Len(t, b.Entries(), 1)
}

// Guards against a router that restarts and never learns again what it had reported itself, or what had
// come to the others through it.
func TestRestartedRouterLearnsWhatItHadReported(t *testing.T) {
	clock := func() time.Duration { return time.Hour }
	newSet := func() *Set { return NewSet(quarantine.DefaultLimits(), clock, log.New(io.Discard)) }
	parent, child := newSet(), newSet()
	call := func(e *Exchange, from *Set, fromName string, to *Set, toName string) {
		args := e.Request(toName, from, time.Hour)
		to.Receive(fromName, args, time.Hour)
		e.HandleReply(toName, to.Reply(fromName, args, time.Hour), from, time.Hour)
	}
	var e Exchange
	for i := range 3 {
		child.RecordEnd(quarantine.End{Engine: fmt.Sprint("e", i), At: time.Hour}, []quarantine.Cut{{Request: testSuspect(fmt.Sprint("of the child ", i))}})
		call(&e, child, "child", parent, "parent")
	}
	require.Len(t, parent.Entries(), 3)
	restarted := newSet()
	var restartedExchange Exchange
	call(&restartedExchange, restarted, "child", parent, "parent")
	require.Len(t, restarted.Entries(), 3)

	// The router that is called restarts.
	parent.RecordEnd(quarantine.End{Engine: "e9", At: time.Hour}, []quarantine.Cut{{Request: testSuspect("of the parent")}})
	call(&restartedExchange, restarted, "child", parent, "parent")
	require.Len(t, restarted.Entries(), 4)
	newParent := newSet()
	for range 3 {
		call(&restartedExchange, restarted, "child", newParent, "parent")
	}
	require.Len(t, newParent.Entries(), 4)
}

// Guards against ends of several starts under one ID that other routers count as one.
func TestRecordsTellStartsApart(t *testing.T) {
	var ends []quarantine.End
	for born := range int64(3) {
		ends = append(ends, quarantine.End{Engine: "e", Born: born + 1, At: time.Hour})
	}
	sent := newRecords([]quarantine.Entry{{Suspect: testSuspect("q"), Ends: ends, ChangedAt: time.Hour}}, time.Hour)
	require.Equal(t, ends, sent.entries(time.Hour)[0].Ends)
}
