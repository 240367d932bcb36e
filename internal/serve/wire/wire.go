// Package wire defines the headers, paths and JSON bodies of the HTTP
// interfaces between callers, routers, engines and plain services.
package wire

// Headers between callers and routers, and between routers and upstreams.
const (
	// HeaderRequestID identifies one request. Upstreams echo it.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey identifies a non-idempotent operation, which is
	// executed at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderChatID identifies the conversation that a request continues.
	HeaderChatID = "X-Chat-Id"
	// HeaderPriority is one of the priority classes: urgent, high, normal, batch.
	HeaderPriority = "X-Priority"
	// HeaderDeadlineMS is how long the caller waits, in milliseconds from the
	// arrival of the request. It is a duration, so that the clocks of caller and
	// router need not agree.
	HeaderDeadlineMS = "X-Deadline-Ms"
	// HeaderPrefixHint carries a signed token that names where a chat's prefix is
	// cached.
	HeaderPrefixHint = "X-Prefix-Hint"
	// HeaderResumeToken carries a signed token that allows its holder to resume a
	// stream.
	HeaderResumeToken = "X-Resume-Token"
	// HeaderLastEventID is the offset of the last chunk that a reconnecting caller
	// has received.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderStreamID is the id that every chunk of a streamed response repeats.
	HeaderStreamID = "X-Stream-Id"
	// HeaderRan reports whether a refused request was executed: no, unknown or
	// yes.
	HeaderRan = "X-Request-Ran"
	// HeaderRouter is the name of the router that sent the response.
	HeaderRouter = "X-Router"
	// HeaderLocateAgain requests that the caller send a new locate request,
	// because the router is draining.
	HeaderLocateAgain = "X-Locate-Again"
	// HeaderIncarnation is the incarnation of the engine that sent the response.
	// On a request, it is the incarnation that the router expects.
	HeaderIncarnation = "X-Engine-Incarnation"
)

// Paths of the interface for callers.
const (
	PathLocate   = "/v1/locate"
	PathChat     = "/v1/chat/completions"
	PathResume   = "/v1/chat/resume"
	PathServices = "/v1/services/"
)

// Paths of engines and plain services.
const (
	PathEngineStatus  = "/v1/status"
	PathEngineStreams = "/v1/streams/"
	PathEngineEvents  = "/v1/cache/events"
	PathEngineOrders  = "/v1/orders"
	PathEngineExport  = "/v1/kv/export"
	PathEngineImport  = "/v1/kv/import"
)

// DoneMarker is the data of the event that ends a complete stream.
const DoneMarker = "[DONE]"

// LocateResponse is the reply to a locate request.
type LocateResponse struct {
	// Address is the host and port to use first.
	Address string `json:"address"`
	// Alternates are the addresses to try, in this order, if Address fails.
	Alternates []string `json:"alternates"`
	// TTLMS is how long the reply may be cached, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
	// Router is the name of the router at Address.
	Router string `json:"router"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion request.
type ChatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream,omitempty"`
	// MaxTokens bounds the length of the response, in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Adapter names a fine-tuned adapter of the model; empty for the base model.
	Adapter string `json:"adapter,omitempty"`
}

// Chunk is the data of one event of a streamed response.
type Chunk struct {
	// ID echoes the request id, so that a late chunk of another request is
	// detected.
	ID     string `json:"id"`
	Object string `json:"object"`
	Model  string `json:"model"`
	// Offset is the number of the chunk in the response, from 0 without gaps.
	Offset  int           `json:"offset"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is one choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Completion is the body of a response that is not streamed.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is one choice of a completion.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// EngineStatus is the status report of an engine or a plain service.
type EngineStatus struct {
	Name string `json:"name"`
	// Incarnation changes each time the engine starts with an empty cache.
	Incarnation uint64   `json:"incarnation"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters,omitempty"`
	Role        string   `json:"role,omitempty"`
	// Leaving is set while the engine is draining before a planned stop.
	Leaving bool `json:"leaving"`
	// Running and Queued are numbers of requests. Weight is the sum of their
	// weights, each the uncached prompt tokens plus the expected output tokens.
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Weight  int64 `json:"weight"`
	// MaxBatch and MaxQueue are the engine's own limits, in requests.
	MaxBatch int `json:"max_batch"`
	MaxQueue int `json:"max_queue"`
	// CacheTokens is the capacity of the prefix cache in tokens. CachedTokens is
	// how much of it is in use.
	CacheTokens  int64 `json:"cache_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// RequestIDs are the ids of the unfinished requests, for reconciliation.
	RequestIDs []string `json:"request_ids,omitempty"`
	// ReportAgeMS is the age of the load figures, in milliseconds.
	ReportAgeMS int64 `json:"report_age_ms"`
}

// CacheEventKind is the kind of change of a cached prefix.
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
	// Next is the sequence number to request next. If the first event has a higher
	// number than the one requested, events in between are missing.
	Next uint64 `json:"next"`
}
