package engine

import (
	"slices"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/chat"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

type jobState int

const (
	jobQueued jobState = iota
	jobRunning
	jobFinished
	jobCanceled
)

// job is one request. The engine's lock guards the fields that change.
type job struct {
	id       string
	req      wire.ChatRequest
	priority int
	prompt   []chat.Boundary
	seed     uint64
	total    int
	head     []byte

	state    jobState
	cached   int
	prefill  int
	weight   int64
	produced int
	accepted time.Time
	started  time.Time
	ended    time.Time
	watchers []chan struct{}
}

// priorityNames lists the priorities from highest to lowest. Unknown names
// count as normal.
var priorityNames = []string{"urgent", "high", "normal", "batch"}

const priorityNormal = 2

func priorityOf(name string) int {
	if i := slices.Index(priorityNames, name); i >= 0 {
		return i
	}
	return priorityNormal
}

func newJob(id, priority string, req wire.ChatRequest) *job {
	prompt := chat.Boundaries(req.Model, req.Adapter, req.Messages)
	seed := answerSeed(prompt)
	return &job{
		id:       id,
		req:      req,
		priority: priorityOf(priority),
		prompt:   prompt,
		seed:     seed,
		total:    answerLength(seed, req.MaxTokens),
		head:     chunkHead(id, req.Model),
		accepted: time.Now(),
	}
}

func (j *job) promptTokens() int {
	if len(j.prompt) == 0 {
		return 0
	}
	return j.prompt[len(j.prompt)-1].Tokens
}

// expectedTokens returns the number of answer tokens that count as load before
// the answer is complete.
func (j *job) expectedTokens() int {
	if j.req.MaxTokens > 0 {
		return j.req.MaxTokens
	}
	return chat.DefaultMaxTokens
}

func (j *job) unfinished() bool { return j.state == jobQueued || j.state == jobRunning }

// notify wakes the connections that read the job.
func (j *job) notify() {
	for _, w := range j.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// promptWithAnswer returns the boundaries of the prompt and the answer, which
// are the prefix of the chat's next turn.
func (j *job) promptWithAnswer() []chat.Boundary {
	text := AnswerText(j.req)
	turn := wire.Message{Role: roleAssistant, Content: text}
	return chat.Boundaries(j.req.Model, j.req.Adapter, append(slices.Clone(j.req.Messages), turn))
}

func (j *job) usage() wire.Usage {
	return wire.Usage{
		PromptTokens:     j.promptTokens(),
		CachedTokens:     j.cached,
		CompletionTokens: j.total,
	}
}

// appendChunk appends a wire.Chunk in JSON. It is encoded by hand, since
// reflection would take most of the stand-in's processor time.
func (j *job) appendChunk(b []byte, offset int) []byte {
	b = append(b, j.head...)
	b = strconv.AppendInt(b, int64(offset), 10)
	b = append(b, `,"choices":[{"index":0,"delta":{"role":"assistant","content":"`...)
	b = append(b, answerWord(j.seed, offset)...)
	if offset < j.total-1 {
		return append(b, `"},"finish_reason":null}]}`...)
	}
	b = append(b, `"},"finish_reason":"stop"}],"usage":`...)
	return append(append(b, j.usageJSON()...), '}')
}
