package traffic

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/lab/standin/service"
	"damaskrouter.example/damaskrouter/internal/secure/token"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

const (
	chatAPIKey   = "example-review-office-sebeke"
	otherAPIKey  = "example-objections-office-sebeke"
	portalAPIKey = "example-applicant-portal-sebeke"
	site         = "cankaya"
	region       = "ankara"
)

// harness is the traffic server of one router with stand-in upstreams.
type harness struct {
	t         *testing.T
	server    *Server
	http      *httptest.Server
	board     *board.Board
	admission *admission.Admission
	store     *platformtest.Fake
	engines   map[string]*engine.Engine
	portal    *service.Service
}

// unlimited is a Limiter that admits every request.
type unlimited struct{}

func (unlimited) Take(context.Context, *config.Account) (func(), error) { return func() {}, nil }

func newHarness(t *testing.T, engines ...string) *harness {
	h := &harness{t: t, board: board.New("r1"), store: platformtest.New(), engines: make(map[string]*engine.Engine)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h.board.Run(ctx)
	cacheIndex, err := admission.NewCacheIndex(1000, 1)
	require.NoError(t, err)
	h.admission = admission.New(admission.Options{Board: h.board, Self: "r1", Instance: 1, Rand: rand.New(rand.NewPCG(1, 1))})
	t.Cleanup(h.admission.Close)
	codec, err := token.NewCodec(token.Key{ID: 1, Secret: []byte(strings.Repeat("s", token.MinSecretBytes))})
	require.NoError(t, err)
	h.server = New(Options{
		Board: h.board, Admitter: h.admission, Facts: cacheIndex, Quota: unlimited{}, Name: "r1",
		Upstream:  upstream.New(upstream.Options{IdleGap: 200 * time.Millisecond}),
		Claims:    claim.New(h.store, h.store.Objects(), "r1", uuid.NewString),
		Tokens:    codec,
		Log:       log.New(io.Discard),
		IdleGap:   200 * time.Millisecond,
		Heartbeat: time.Second, ResumeGrace: time.Hour,
	})
	h.http = httptest.NewServer(h.server.Handler())
	t.Cleanup(h.http.Close)
	h.configure()
	for _, name := range engines {
		h.addEngine(name)
	}
	h.portal = service.New(service.Options{Name: "p1"})
	h.addUpstream("p1", platform.KindService, "portal", h.portal.Handler(), h.portal.Report())
	return h
}

func (h *harness) configure() {
	b, err := config.ReadBundle("../../../examples/sebeke/base.yaml", "")
	require.NoError(h.t, err)
	parsed, err := b.Parse()
	require.NoError(h.t, err)
	effective, err := config.NewEffective(parsed.Document, parsed.Overlays, site)
	require.NoError(h.t, err)
	h.board.UpdateWait(func(s *board.State) {
		s.Config, s.ConfigVersion = effective, 1
		s.Routers["r1"] = board.Router{Name: "r1", ID: rendezvous.ID("r1"), Instance: 1, Address: "127.0.0.1:1", Site: site}
	})
}

func (h *harness) addEngine(name string) {
	opts := engine.Defaults(name, "dossier")
	opts.Version, opts.Adapters, opts.StepTime = "2.1", []string{"grid-code", "objections"}, 0
	opts.ReportLag = 0
	e := engine.New(opts)
	h.t.Cleanup(e.Close)
	h.engines[name] = e
	h.addUpstream(name, platform.KindEngine, "language", e.Handler(), e.Status())
}

func (h *harness) addUpstream(name, kind, pool string, handler http.Handler, status wire.EngineStatus) {
	srv := httptest.NewServer(handler)
	h.t.Cleanup(srv.Close)
	e := board.Engine{
		Name: name, ID: rendezvous.ID(name), Address: srv.Listener.Addr().String(),
		Site: site, Region: region, Pool: pool, Kind: kind,
	}
	h.board.UpdateWait(func(s *board.State) { s.Engines[name] = e })
	h.admission.Sync(h.board.Snapshot())
	h.admission.EngineReport(&e, status)
}

// request is one HTTP request to the router.
type request struct {
	method, path, body string
	key                string
	header             map[string]string
}

func (h *harness) do(r request) (*http.Response, string) {
	h.t.Helper()
	if r.method == "" {
		r.method = http.MethodPost
	}
	if r.path == "" {
		r.path = wire.PathChat
	}
	req, err := http.NewRequest(r.method, h.http.URL+r.path, strings.NewReader(r.body))
	require.NoError(h.t, err)
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(h.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body)
}

func decodeRefusal(t *testing.T, body string) *apierr.Error {
	t.Helper()
	var b errorBody
	require.NoError(t, json.Unmarshal([]byte(body), &b), body)
	require.NotNil(t, b.Error, body)
	return b.Error
}

// newChat returns the body of a chat request and the text of the response that
// it must get.
func newChat(text string, stream bool) (body, want string) {
	req := wire.ChatRequest{Model: "dossier", Messages: []wire.Message{{Role: "user", Content: text}}, Stream: stream, MaxTokens: 12}
	data, err := json.Marshal(req)
	if err != nil {
		panic(err)
	}
	return string(data), engine.AnswerText(req)
}

// readEvents reads a streamed body. It returns the text, whether the end marker
// was received, and the error event if one was received.
func readEvents(t *testing.T, body string) (text string, complete bool, refusal *apierr.Error) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == wire.DoneMarker {
			complete = true
			continue
		}
		var chunk struct {
			wire.Chunk
			Error *apierr.Error `json:"error"`
		}
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		if chunk.Error != nil {
			refusal = chunk.Error
			continue
		}
		text += chunk.Choices[0].Delta.Content
	}
	return text, complete, refusal
}

func executions(engines map[string]*engine.Engine) int {
	n := 0
	for _, e := range engines {
		for _, times := range e.Stats().Runs {
			n += times
		}
	}
	return n
}
