package platform

import "unicode/utf8"

// Paths of the platform's services.
const (
	PathTxn     = "/v1/table/txn"
	PathRows    = "/v1/table/rows"
	PathScan    = "/v1/table/scan"
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
	PathWeights = "/v1/weights/"
)

// Query parameters of the table's reads.
const (
	ParamTable = "table"
	ParamKey   = "key"
	ParamFrom  = "from"
	ParamTo    = "to"
	ParamLimit = "limit"
	ParamUse   = "use"
)

const (
	// HeaderNotExecuted is the service's promise on an error reply that the
	// call had no effect and never will. Without it a 503 proves nothing:
	// whatever stands between may have written it after the call went on.
	HeaderNotExecuted = "X-Not-Executed"
	// NotExecuted is the value of HeaderNotExecuted that makes the promise.
	NotExecuted = "true"
)

// TxnRequest is the body of a transaction.
type TxnRequest struct {
	// ID names the transaction; the reply echoes it.
	ID     string  `json:"id"`
	Use    Use     `json:"use"`
	Writes []Write `json:"writes"`
}

// TxnReply is the body of a committed transaction.
type TxnReply struct {
	ID   string `json:"id"`
	Rows []Row  `json:"rows"`
}

// TxnConflict is the body of a transaction whose condition did not hold.
type TxnConflict struct {
	ID      string `json:"id"`
	Current Row    `json:"current"`
}

// RowsReply is the body of a scan.
type RowsReply struct {
	Rows []Row `json:"rows"`
}

// VMsReply is the body of the VM list.
type VMsReply struct {
	VMs []VM `json:"vms"`
}

// ErrorCode tells the reasons for an error reply apart.
type ErrorCode string

// The codes in an ErrorReply.
const (
	CodeNotFound   ErrorCode = "not_found"
	CodeInvalid    ErrorCode = "invalid"
	CodeOverloaded ErrorCode = "overloaded"
	CodeDown       ErrorCode = "down"
	CodeExists     ErrorCode = "exists"
)

// ErrorReply is the body of every error but a conflict.
type ErrorReply struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// rowID names a row within a transaction.
type rowID struct{ table, key string }

// CheckWrites reports, as ErrInvalid, what makes a transaction impossible.
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

// CheckName reports, as ErrInvalid, a table or key that the protocol cannot carry.
//
// JSON replaces bytes that are not UTF-8 by U+FFFD. Two different keys would
// then name one row, and the second caller of a non-idempotent service would be
// told that its work had already run. Such keys are refused before they are sent.
func CheckName(table, key string) error {
	if table == "" || key == "" {
		return ErrInvalid.New("row %q/%q lacks a table or a key", table, key)
	}
	if !utf8.ValidString(table) || !utf8.ValidString(key) {
		return ErrInvalid.New("row %q/%q is not UTF-8", table, key)
	}
	return nil
}

// CheckScan reports, as ErrInvalid, a range that the protocol cannot carry.
func CheckScan(table, from, to string, limit int) error {
	if limit < 1 || limit > MaxScanRows {
		return ErrInvalid.New("limit %d, want 1 to %d", limit, MaxScanRows)
	}
	if table == "" || !utf8.ValidString(table+from+to) {
		return ErrInvalid.New("range %q from %q to %q", table, from, to)
	}
	return nil
}
