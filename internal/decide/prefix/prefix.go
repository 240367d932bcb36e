// Package prefix answers where the prefix of a returning chat is cached. It
// weighs three sources: the hint that the caller hands back, the owner's table
// of recent chats, and a view of each engine's cache made from its late and
// gappy events.
//
// The package is pure: it starts nothing, reads no clock and does no I/O. Its
// tables are not safe for concurrent use, and all of their memory is allocated
// when they are made.
package prefix

import (
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// ErrCapacity reports a table whose capacity is not positive.
var ErrCapacity = errs.Class("prefix: capacity")

// ModelID is the hash that names a model in hints.
func ModelID(name string) uint64 { return xxh3.HashString(name) }

// ChatID is the hash that names a chat of an account. The account is part of
// it, so that equal chat ids of two accounts are two chats.
func ChatID(account, chat string) uint64 {
	return xxh3.HashStringSeed(chat, xxh3.HashString(account))
}

// Place is where a prefix is, or was, cached.
type Place struct {
	// Engine is the hash of its name.
	Engine uint64
	// Incarnation is the engine's; a later one has an empty cache.
	Incarnation uint64
	// Prefix is the chain hash at the last message boundary.
	Prefix uint64
	// Tokens is the length of the prefix.
	Tokens int
}
