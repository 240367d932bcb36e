package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// fakeStore is a store whose content and failures are set by a test.
type fakeStore struct {
	mu      sync.Mutex
	config  *catalog.Config
	version uint64
	engines []catalog.Engine
	// removed holds the removals of engines, oldest first.
	removed []catalog.Removal
	// evacuations holds the latest change of each site.
	evacuations map[string]catalog.Evacuation
	down        bool
	silent      bool
	// historyLost makes watches fail with ErrHistoryLost.
	historyLost bool
	// transfer is how long the transfer of a response with content takes. As with the platform's
	// client, the deadline of a call applies only until the response begins.
	transfer time.Duration
	calls    atomic.Int64
	changed  chan struct{}
	// era is the era that responses state.
	era catalog.Era
	// rows holds the rows written by routers, by key.
	rows map[string][]byte
}

func newFakeStore() *fakeStore { return &fakeStore{version: 1, changed: make(chan struct{})} }

func (s *fakeStore) update(f func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.engines
	f(s)
	s.version++
	for _, e := range before {
		if !slices.ContainsFunc(s.engines, func(o catalog.Engine) bool { return o.ID == e.ID }) {
			s.removed = append(s.removed, catalog.Removal{ID: e.ID, Revision: s.version})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// simulateFailure counts a call, and blocks it if the test has set silent or fails it if the test
// has set down.
func (s *fakeStore) simulateFailure(ctx context.Context) error {
	s.calls.Add(1)
	s.mu.Lock()
	down, silent := s.down, s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return platform.ErrUnavailable.Wrap(ctx.Err())
	}
	if down {
		return platform.ErrUnavailable.New("status 503")
	}
	return nil
}

// Get implements platform.Table.
func (s *fakeStore) Get(ctx context.Context, _ platform.Use, table, key string) (platform.Row, error) {
	if err := s.simulateFailure(ctx); err != nil {
		return platform.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound.New("%s", key)
	}
	return platform.Row{Table: table, Key: key, Value: value, Version: 1}, nil
}

// Commit implements platform.Table.
func (s *fakeStore) Commit(ctx context.Context, _ platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	if err := s.simulateFailure(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows == nil {
		s.rows = make(map[string][]byte)
	}
	for _, w := range writes {
		s.rows[w.Key] = w.Value
	}
	return nil, nil
}

// Scan implements platform.Table. It is not used by these tests.
func (s *fakeStore) Scan(context.Context, platform.Use, string, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrInvalid.New("not supported")
}

// Era implements Store.
func (s *fakeStore) Era() catalog.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// fakeCopy is the content of a fakeStore at one moment.
type fakeCopy struct {
	config      *catalog.Config
	version     uint64
	engines     []catalog.Engine
	removed     []catalog.Removal
	evacuations map[string]catalog.Evacuation
	rows        map[string][]byte
}

func (s *fakeStore) copyContent() fakeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fakeCopy{
		config: s.config, version: s.version, engines: slices.Clone(s.engines), removed: slices.Clone(s.removed),
		evacuations: maps.Clone(s.evacuations), rows: maps.Clone(s.rows),
	}
}

// restore replaces the content with a copy and ends all watches. If the store states eras, the next
// one begins.
func (s *fakeStore) restore(c fakeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config, s.version, s.engines, s.removed = c.config, c.version, slices.Clone(c.engines), slices.Clone(c.removed)
	s.evacuations, s.rows = maps.Clone(c.evacuations), maps.Clone(c.rows)
	if s.era.Stated > 0 {
		s.era.Stated++
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) ReadConfig(ctx context.Context) (ConfigRead, error) {
	if err := s.simulateFailure(ctx); err != nil {
		return ConfigRead{}, err
	}
	defer s.sendContent()
	s.mu.Lock()
	defer s.mu.Unlock()
	u := catalog.EvacuationUpdate{Era: s.era, Full: true, Upto: s.version}
	for _, e := range s.evacuations {
		if e.Active {
			u.Changes = append(u.Changes, e)
		}
	}
	return ConfigRead{Config: s.config, Evacuations: u, Upto: s.version}, nil
}

// setEvacuated starts or ends the evacuation of a site.
func (s *fakeStore) setEvacuated(site string, active bool) {
	s.update(func(s *fakeStore) {
		next := maps.Clone(s.evacuations)
		if next == nil {
			next = make(map[string]catalog.Evacuation)
		}
		next[site] = catalog.Evacuation{Site: site, Active: active, Revision: s.version + 1}
		s.evacuations = next
	})
}

func (s *fakeStore) wait(ctx context.Context, since uint64, wait time.Duration) error {
	if err := s.simulateFailure(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	version, changed, lost := s.version, s.changed, s.historyLost
	s.mu.Unlock()
	if lost || since > version {
		return ErrHistoryLost.New("compacted, or never known")
	}
	if version > since {
		return nil
	}
	select {
	case <-changed:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.version <= since {
			return platform.ErrUnavailable.New("connection reset")
		}
	case <-time.After(wait):
	case <-ctx.Done():
		return platform.ErrUnavailable.Wrap(ctx.Err())
	}
	return nil
}

func (s *fakeStore) WatchConfig(ctx context.Context, since uint64, wait time.Duration) (ConfigRead, error) {
	if err := s.wait(ctx, since, wait); err != nil {
		return ConfigRead{}, err
	}
	read := s.configSince(since)
	if read.Upto > since {
		s.sendContent()
	}
	return read, nil
}

func (s *fakeStore) configSince(since uint64) ConfigRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := catalog.EvacuationUpdate{Era: s.era}
	if s.version == since {
		return ConfigRead{Upto: since, Evacuations: u}
	}
	for _, e := range s.evacuations {
		if e.Revision > since {
			u.Changes = append(u.Changes, e)
		}
	}
	return ConfigRead{Config: s.config, Evacuations: u, Upto: s.version}
}

// sendContent returns after the transfer of a response with content.
func (s *fakeStore) sendContent() {
	s.mu.Lock()
	transfer := s.transfer
	s.mu.Unlock()
	time.Sleep(transfer)
}

func (s *fakeStore) ReadEngines(ctx context.Context) (catalog.EngineUpdate, error) {
	if err := s.simulateFailure(ctx); err != nil {
		return catalog.EngineUpdate{}, err
	}
	defer s.sendContent()
	s.mu.Lock()
	defer s.mu.Unlock()
	return catalog.EngineUpdate{Era: s.era, First: s.version, Full: true, Upto: s.version, Present: slices.Clone(s.engines)}, nil
}

func (s *fakeStore) WatchEngines(ctx context.Context, since uint64, wait time.Duration) (catalog.EngineUpdate, error) {
	if err := s.wait(ctx, since, wait); err != nil {
		return catalog.EngineUpdate{}, err
	}
	u := s.enginesSince(since)
	if u.Upto > since {
		s.sendContent()
	}
	return u, nil
}

func (s *fakeStore) enginesSince(since uint64) catalog.EngineUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := catalog.EngineUpdate{Era: s.era, Since: since, Upto: s.version}
	for _, e := range s.engines {
		if e.Revision > since {
			u.Present = append(u.Present, e)
		}
	}
	for _, r := range s.removed {
		if r.Revision > since {
			u.Removed = append(u.Removed, r)
		}
	}
	return u
}
