package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/stretchr/testify/require"
)

// placer places prompts that share their first part.
type promptPicker struct {
	t       *testing.T
	now     time.Duration
	engines *Engines
}

func newPromptPicker(t *testing.T) *promptPicker {
	p := &promptPicker{t: t, now: time.Minute}
	nobody := func() map[string]feed.EngineLoad { return nil }
	p.engines = NewEngines("site", nobody, func() time.Duration { return p.now }, rand.New(rand.NewPCG(1, 2)))
	return p
}

func (p *promptPicker) pick(s *catalog.Snapshot, dossier int) Choice {
	choice, ok := p.engines.Pick(s, "llm", []string{"common", fmt.Sprint("dossier-", dossier)}, nil)
	require.True(p.t, ok)
	p.engines.Done(choice)
	return choice
}

// snapshotOf returns a snapshot with n engines of one service.
func newSnapshot(n int) *catalog.Snapshot {
	u := catalog.EngineUpdate{Full: true, Upto: uint64(n)}
	for i := range n {
		u.Present = append(u.Present, catalog.Engine{
			ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("10.0.0.", i, ":1"), Slots: 64, Revision: 1,
		})
	}
	s, _ := catalog.Empty().WithEngines(u, 0, time.Second, 0)
	s, _ = s.WithConfig(catalog.NewConfig(catalog.Config{Version: 1, Services: []catalog.Service{{Name: "llm"}}}), 0)
	return s
}

// Symptom: a part that many prompts share is read again at each engine. Sequence: a
// prompt is new, its first part is not. Cause: the engine was told to fetch from one
// that never had anything of the prompt.
func TestNewPromptFetchesSharedPartFromEngineThatHasIt(t *testing.T) {
	p := newPromptPicker(t)
	s := newSnapshot(5)
	sent := map[string]bool{p.pick(s, 0).Engine.Address: true}
	for i := 1; i < 20; i++ {
		choice := p.pick(s, i)
		if !sent[choice.Engine.Address] {
			require.True(t, sent[choice.FetchFrom], "prompt %d fetches from %q", i, choice.FetchFrom)
		}
		sent[choice.Engine.Address] = true
		require.Empty(t, p.pick(s, i).FetchFrom, "the engine has the prompt")
	}
}

// Symptom: prompts are read again when engines are added. Sequence: an engine comes
// and takes over prompts of others, which this router has or has not sent. Cause: it
// is not told who had them.
func TestAddedEngineFetchesFromPreviousEngine(t *testing.T) {
	p := newPromptPicker(t)
	before := newSnapshot(5)
	had := make(map[int]Choice)
	for i := range 40 {
		had[i] = p.pick(before, i)
	}
	p.now += 10 * time.Second
	after := newSnapshot(6)
	other := newPromptPicker(t)
	other.pick(before, 99)
	other.now = p.now
	taken := 0
	for i := range 40 {
		choice, unsent := p.pick(after, i), other.pick(after, i)
		if choice.Engine.ID == had[i].Engine.ID {
			continue
		}
		taken++
		require.Equal(t, had[i].Engine.Address, choice.FetchFrom, "a router that sent it")
		require.Equal(t, had[i].Engine.Address, unsent.FetchFrom, "a router that did not")
	}
	require.Positive(t, taken)
}

// Symptom: requests hang at a healthy engine. Sequence: an engine that holds a prompt
// fails and is ejected; the prompt goes to another. Cause: that one is told to fetch
// from the engine that gives nothing.
func TestNoFetchFromEjectedEngine(t *testing.T) {
	p := newPromptPicker(t)
	s := newSnapshot(5)
	first := p.pick(s, 0)
	for range 50 {
		p.engines.RecordOutcome(first.Engine.ID, false)
	}
	next := p.pick(s, 0)
	require.NotEqual(t, first.Engine.ID, next.Engine.ID)
	require.NotEqual(t, first.Engine.Address, next.FetchFrom)
}

// Symptom: requests are slow at an engine that has crashed, or told to fetch prompts from it.
// Sequence: an engine starts again under the ID that it had, with an empty cache; by its ID it
// seems to hold all that was sent to it, and to have failed. Cause: what is known of an engine
// went by its ID alone.
func TestRestartedEngineHasEmptyCache(t *testing.T) {
	for name, restart := range map[string]func(*catalog.Engine){
		"another start":          func(e *catalog.Engine) { e.Born += 5000 },
		"counts that start anew": func(e *catalog.Engine) { e.Orders = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPromptPicker(t)
			var restarted []string
			p.engines.OnRestart(func(engine string) { restarted = append(restarted, engine) })
			s := newSnapshot(3)
			engines := s.Engines.Of("llm")
			for i := range engines {
				engines[i].Born, engines[i].Orders = 1000, 3
			}
			first := p.pick(s, 1)
			p.engines.RecordOutcome(first.Engine.ID, false)
			require.Empty(t, p.pick(s, 1).FetchFrom, "it holds the prompt")

			for i := range engines {
				if engines[i].ID == first.Engine.ID {
					restart(&engines[i])
				}
			}
			p.now += startupSettleTime + time.Second
			require.True(t, p.engines.promptCaches.contains(first.Engine.ID, "dossier-1", p.now))
			p.engines.Review(s)
			require.Equal(t, []string{first.Engine.ID}, restarted)
			require.Zero(t, p.engines.Own()[first.Engine.ID].Evidence)
			require.False(t, p.engines.promptCaches.contains(first.Engine.ID, "dossier-1", p.now))
			require.True(t, p.engines.recentlyStarted(first.Engine.ID, p.now), "others may hold its prompts")
			p.engines.Review(s)
			require.Len(t, restarted, 1)
		})
	}
}

// Guards against prompts that are read again after an evacuation: the engines of the site may have
// been emptied, and fetch from those that served meanwhile.
func TestEngineFetchesPromptAfterEvacuationEnds(t *testing.T) {
	p := newPromptPicker(t)
	s := coldSnapshot(6, 0, 5)
	home := p.pick(s, 1).Engine
	p.now += 10 * time.Second
	s = withEvacuation(s, home.Site, true, 6)
	meanwhile := p.pick(s, 1)
	require.NotEqual(t, home.Site, meanwhile.Engine.Site)
	require.Equal(t, home.Address, meanwhile.FetchFrom)
	p.now += 3 * time.Second
	s = withEvacuation(s, home.Site, false, 7)
	p.pick(s, 2)
	p.now += 4 * time.Second
	back := p.pick(s, 1)
	require.Equal(t, home.ID, back.Engine.ID)
	require.Equal(t, meanwhile.Engine.Address, back.FetchFrom)
}
