package platform

import (
	"strings"
	"unicode/utf8"
)

// rowID identifies a row within a transaction.
type rowID struct{ table, key string }

// CheckWrites validates a transaction: the number of its writes, their names
// and conditions, and that each row occurs once. Errors: ErrInvalid.
func CheckWrites(writes []Write) error {
	if len(writes) == 0 || len(writes) > MaxWrites {
		return ErrInvalid.New("%d writes, want 1 to %d", len(writes), MaxWrites)
	}
	seen := make(map[rowID]bool, len(writes))
	for _, w := range writes {
		if err := CheckName(w.Table, w.Key); err != nil {
			return err
		}
		id := rowID{w.Table, w.Key}
		if seen[id] {
			return ErrInvalid.New("row %s/%s is written twice", w.Table, w.Key)
		}
		if w.IfVersion < AnyVersion {
			return ErrInvalid.New("row %s/%s has condition %d", w.Table, w.Key, w.IfVersion)
		}
		seen[id] = true
	}
	return nil
}

// CheckName validates the names of a table and a row: they must be non-empty
// UTF-8 of at most MaxName bytes. Errors: ErrInvalid.
//
// JSON encoding replaces invalid UTF-8 by U+FFFD. Two different keys would then
// name one row, and the request of the second caller of a non-idempotent
// service would be treated as already executed. Such keys are rejected before
// they are sent.
func CheckName(table, key string) error {
	if table == "" || key == "" {
		return ErrInvalid.New("row %q/%q lacks a table or a key", table, key)
	}
	if !utf8.ValidString(table) || !utf8.ValidString(key) {
		return ErrInvalid.New("row %q/%q is not UTF-8", table, key)
	}
	if max(len(table), len(key)) > MaxName {
		return ErrInvalid.New("row %q/%q: a name has %d bytes at most", table, key, MaxName)
	}
	return nil
}

// CheckScan validates the range and the limit of a scan. Errors: ErrInvalid.
func CheckScan(table, from, to string, limit int) error {
	if limit < 1 || limit > MaxScanRows {
		return ErrInvalid.New("limit %d, want 1 to %d", limit, MaxScanRows)
	}
	if table == "" || !utf8.ValidString(table+from+to) {
		return ErrInvalid.New("range %q from %q to %q", table, from, to)
	}
	return nil
}

// CheckObjectName validates the name of an object. Empty, "." and ".." path
// elements are not allowed, since an intermediary may rewrite "a//b" and
// "a/./b" to "a/b", which names another object. Errors: ErrInvalid.
func CheckObjectName(name string) error {
	if !utf8.ValidString(name) {
		return ErrInvalid.New("object name %q is not UTF-8", name)
	}
	for p := range strings.SplitSeq(name, "/") {
		if p == "" || p == "." || p == ".." {
			return ErrInvalid.New("object name %q has an empty or a dot element", name)
		}
	}
	return nil
}

// ObjectConflict returns the *ConflictError for storing different data under
// the name of an existing object.
func ObjectConflict(name string) error {
	return &ConflictError{Current: Row{Table: ObjectsTable, Key: name, Version: 1}}
}
