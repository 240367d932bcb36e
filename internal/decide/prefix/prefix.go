// Package prefix locates the engines that have the prefix of a returning chat in their
// cache. It weighs three sources: the hint that the caller sends back, the owner's
// table of recent chats, and a view of each engine's cache, built from cache events of
// the engine, which may be late or missing.
//
// The package starts no goroutines, reads no clock and does no I/O. Its tables aren't
// safe for concurrent use, and all of their memory is allocated when they are created.
package prefix

import (
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// ErrCapacity reports a table whose capacity isn't positive.
var ErrCapacity = errs.Class("prefix: capacity is not positive")

// ModelID returns the hash that identifies a model in hints.
func ModelID(name string) uint64 { return xxh3.HashString(name) }

// ChatID returns the hash that identifies a chat of an account. It includes the
// account, so that equal chat ids of two accounts are two chats.
func ChatID(account, chat string) uint64 {
	return xxh3.HashStringSeed(chat, xxh3.HashString(account))
}

// Location is an engine incarnation that has, or had, a prefix in its cache.
type Location struct {
	// Engine is the hash of the engine's name.
	Engine uint64
	// Incarnation is the incarnation of the engine that cached the prefix; a later one
	// starts with an empty cache.
	Incarnation uint64
	// Prefix is the chain hash at the last message boundary.
	Prefix uint64
	// Tokens is the length of the prefix.
	Tokens int
}
