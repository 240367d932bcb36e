// Package wire names the headers, paths and JSON bodies that cross the
// system's HTTP interfaces, so that client, router and stand-ins agree.
package wire

// Headers between callers and routers, and between routers and upstreams.
const (
	// HeaderRequestID identifies one request; upstreams echo it.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey names a non-idempotent operation.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderChatID names the conversation a request continues.
	HeaderChatID = "X-Chat-Id"
	// HeaderPriority is one of the priority classes: urgent, high, normal, batch.
	HeaderPriority = "X-Priority"
	// HeaderDeadlineMS is how many milliseconds the caller will wait, from
	// the moment the request arrives: a span, so that no clocks are compared.
	HeaderDeadlineMS = "X-Deadline-Ms"
	// HeaderPrefixHint carries the signed statement of where a chat's prefix is cached.
	HeaderPrefixHint = "X-Prefix-Hint"
	// HeaderResumeToken carries the signed right to resume a stream.
	HeaderResumeToken = "X-Resume-Token"
	// HeaderLastEventID is the offset of the last chunk that a reconnecting caller has.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderStreamID is the id that every chunk of a streamed answer repeats.
	HeaderStreamID = "X-Stream-Id"
	// HeaderRan says whether a refused request ran: no, unknown or yes.
	HeaderRan = "X-Request-Ran"
	// HeaderRouter names the router that answered.
	HeaderRouter = "X-Router"
	// HeaderMoved tells a caller to locate anew: the router is leaving.
	HeaderMoved = "X-Locate-Again"
	// HeaderIncarnation is the incarnation of the engine that answered, and
	// on a request the one that the router expects.
	HeaderIncarnation = "X-Engine-Incarnation"
)

// Paths of the callers' interface.
const (
	PathLocate   = "/v1/locate"
	PathChat     = "/v1/chat/completions"
	PathResume   = "/v1/chat/resume"
	PathServices = "/v1/services/"
)

// Paths of an engine or a plain service.
const (
	PathEngineStatus  = "/v1/status"
	PathEngineStreams = "/v1/streams/"
	PathEngineEvents  = "/v1/cache/events"
	PathEngineOrders  = "/v1/orders"
	PathEngineExport  = "/v1/kv/export"
	PathEngineImport  = "/v1/kv/import"
)

// DoneMarker is the data of the event that ends a whole stream.
const DoneMarker = "[DONE]"

// Locate is the answer to "which address should I use?".
type Locate struct {
	// Address is the host and port to use first.
	Address string `json:"address"`
	// Alternates are to be tried in this order when Address does not answer.
	Alternates []string `json:"alternates"`
	// TTLMS is how long, in milliseconds, the answer may be kept.
	TTLMS int64 `json:"ttl_ms"`
	// Router names the router behind Address.
	Router string `json:"router"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion.
type ChatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream,omitempty"`
	// MaxTokens bounds the answer's length in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Adapter names a fine-tuned adapter of the model; empty for the base model.
	Adapter string `json:"adapter,omitempty"`
}

// Chunk is the data of one event of a streamed answer.
type Chunk struct {
	// ID echoes the request id, so that a late chunk of another request is seen.
	ID     string `json:"id"`
	Object string `json:"object"`
	Model  string `json:"model"`
	// Offset counts the chunks of the answer from 0 without gaps.
	Offset  int           `json:"offset"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is one alternative of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Completion is the body of an answer that is not streamed.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is one alternative of a completion.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// EngineStatus is what an engine or a plain service reports of itself.
type EngineStatus struct {
	Name string `json:"name"`
	// Incarnation changes whenever the engine starts with an empty cache.
	Incarnation uint64   `json:"incarnation"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters,omitempty"`
	Role        string   `json:"role,omitempty"`
	// Leaving is set once the engine has been asked to stop.
	Leaving bool `json:"leaving"`
	// Running and Queued count requests; Weight is their sum in weight units
	// (uncached prompt tokens plus expected output tokens).
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Weight  int64 `json:"weight"`
	// MaxBatch and MaxQueue are the engine's own limits, in requests.
	MaxBatch int `json:"max_batch"`
	MaxQueue int `json:"max_queue"`
	// CacheTokens is the capacity of the prefix cache, CachedTokens its use.
	CacheTokens  int64 `json:"cache_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// RequestIDs are the unfinished requests, for reconciliation.
	RequestIDs []string `json:"request_ids,omitempty"`
	// ReportAgeMS is the age of the load figures, in milliseconds.
	ReportAgeMS int64 `json:"report_age_ms"`
}

// CacheEventKind says what happened to a prefix.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq  uint64         `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	// Prefix is the chain hash at a message boundary.
	Prefix uint64 `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// CacheEvents is a page of an engine's event log.
type CacheEvents struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Next is the sequence number to ask for next; a first event beyond the
	// one asked for is a gap.
	Next uint64 `json:"next"`
}
