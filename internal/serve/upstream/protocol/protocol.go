// Package protocol holds the parts of the upstream protocol that are no wire
// type: the body of a refusal, its codes and the content types. The router's
// client and the stand-ins both import it, so that they can't drift apart.
package protocol

// Code names the reason for a refusal.
type Code string

// The reasons for which an upstream refuses a call.
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

// Refusal is the JSON body of every answer with a status of 400 or above.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}

// ExportRequest is the body of a KV cache export.
type ExportRequest struct {
	// Prefix is the chain hash of the last message boundary to export.
	Prefix uint64 `json:"prefix"`
}

// HeaderName is the name of the upstream that answered, and on a request the
// one that the router means. Incarnation numbers of two engines may be equal,
// so the number alone doesn't tell a replaced VM from the one it replaced.
const HeaderName = "X-Engine-Name"

// Query parameters.
const (
	// QueryFrom is the offset of the first chunk wanted from a resumed stream.
	QueryFrom = "from"
	// QueryAfter is the sequence number of the last cache event already seen.
	// QueryBrief asks for a status report without request ids.
	QueryBrief = "brief"
	QueryAfter = "after"
)

// Content types of the protocol.
const (
	TypeJSON   = "application/json"
	TypeEvents = "text/event-stream"
	TypeBinary = "application/octet-stream"
)

// ObjectChunk and ObjectCompletion are the values of an answer's object field.
const (
	ObjectChunk      = "chat.completion.chunk"
	ObjectCompletion = "chat.completion"
)
