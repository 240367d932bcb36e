// Package protocol defines the parts of the upstream protocol that package wire
// doesn't: the body and codes of a refusal, the export request, a header, query
// parameters and content types. The router's client and the stand-ins share it, so
// that they can't diverge.
package protocol

// Code is the reason for a refusal.
type Code string

// Reasons for which an upstream refuses a request.
const (
	CodeQueueFull      Code = "queue_full"
	CodeLeaving        Code = "leaving"
	CodeWrongIdentity  Code = "wrong_identity"
	CodeModelNotLoaded Code = "model_not_loaded"
	CodeUnknownStream  Code = "unknown_stream"
	CodeUnknownPrefix  Code = "unknown_prefix"
	CodeBadRequest     Code = "bad_request"
	CodeFault          Code = "fault"
)

// Refusal is the JSON body of every response with a status of 400 or above.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}

// ExportRequest is the body of a KV cache export.
type ExportRequest struct {
	// Prefix is the chain hash of the last message boundary to export.
	Prefix uint64 `json:"prefix"`
}

// HeaderName carries the name of the upstream: in a response that of the sender,
// in a request that of the intended recipient. Two engines may have equal
// incarnation numbers, so the incarnation alone doesn't distinguish a replacement
// VM from the one that it replaced.
const HeaderName = "X-Engine-Name"

// Query parameters.
const (
	// QueryFrom is the offset of the first chunk of a resumed stream.
	QueryFrom = "from"
	// QueryBrief requests a status report without request ids.
	QueryBrief = "brief"
	// QueryAfter is the sequence number of the last cache event already received.
	QueryAfter = "after"
)

// Content types of the protocol.
const (
	TypeJSON   = "application/json"
	TypeEvents = "text/event-stream"
	TypeBinary = "application/octet-stream"
)

// Values of the object field of a chunk and of a chat completion.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
)
