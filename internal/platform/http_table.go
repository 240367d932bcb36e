package platform

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
)

const contentTypeJSON = "application/json"

// HTTPTable is the client of the table service. It tries each call once.
type HTTPTable struct {
	http *httpClient
}

var _ Table = (*HTTPTable)(nil)

// NewHTTPTable returns a client of the table service at baseURL.
func NewHTTPTable(baseURL string, opts HTTPOptions) *HTTPTable {
	return &HTTPTable{http: newHTTPClient(baseURL, opts)}
}

// Commit implements Table.
func (t *HTTPTable) Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error) {
	if err := CheckWrites(writes); err != nil {
		return nil, err
	}
	req := TxnRequest{ID: rand.Text(), Use: use, Writes: writes}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	r, err := t.http.write(ctx, http.MethodPost, PathTxn, contentTypeJSON, body)
	if err != nil {
		return nil, err
	}
	switch r.status {
	case http.StatusOK:
		return committed(req, r.body)
	case http.StatusConflict:
		return nil, conflict(req, r.body)
	default:
		return nil, r.writeError()
	}
}

// committed reads the reply to a committed transaction. One that can't be read,
// or that answers another transaction, says nothing about this one.
func committed(req TxnRequest, body []byte) ([]Row, error) {
	var rep TxnReply
	if err := json.Unmarshal(body, &rep); err != nil {
		return nil, ErrOutcomeUnknown.Wrap(err)
	}
	if rep.ID != req.ID || len(rep.Rows) != len(req.Writes) {
		return nil, ErrOutcomeUnknown.New("reply to transaction %q with %d rows", rep.ID, len(rep.Rows))
	}
	for i, w := range req.Writes {
		if rep.Rows[i].Table != w.Table || rep.Rows[i].Key != w.Key {
			return nil, ErrOutcomeUnknown.New("reply names row %s/%s", rep.Rows[i].Table, rep.Rows[i].Key)
		}
	}
	return rep.Rows, nil
}

// conflict reads the reply to a transaction whose condition did not hold.
func conflict(req TxnRequest, body []byte) error {
	var rep TxnConflict
	if err := json.Unmarshal(body, &rep); err != nil {
		return ErrOutcomeUnknown.Wrap(err)
	}
	if rep.ID != req.ID {
		return ErrOutcomeUnknown.New("conflict of transaction %q", rep.ID)
	}
	return &ConflictError{Current: rep.Current}
}

// Get implements Table.
func (t *HTTPTable) Get(ctx context.Context, use Use, table, key string) (Row, error) {
	if err := CheckName(table, key); err != nil {
		return Row{}, err
	}
	query := url.Values{ParamTable: {table}, ParamKey: {key}, ParamUse: {string(use)}}
	r, err := t.http.read(ctx, PathRows, query)
	if err != nil {
		return Row{}, err
	}
	if r.status != http.StatusOK {
		return Row{}, r.readError()
	}
	return decodeRow(r.body, table, key)
}

// decodeRow reads the reply to a Get and checks that it answers the question.
func decodeRow(body []byte, table, key string) (Row, error) {
	var row Row
	if err := json.Unmarshal(body, &row); err != nil {
		return Row{}, ErrUnavailable.Wrap(err)
	}
	if row.Table != table || row.Key != key || row.Version < 1 {
		return Row{}, ErrUnavailable.New("reply names row %s/%s, version %d", row.Table, row.Key, row.Version)
	}
	return row, nil
}

// Scan implements Table.
func (t *HTTPTable) Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error) {
	if err := CheckScan(table, from, to, limit); err != nil {
		return nil, err
	}
	query := url.Values{
		ParamTable: {table},
		ParamFrom:  {from},
		ParamTo:    {to},
		ParamLimit: {strconv.Itoa(limit)},
		ParamUse:   {string(use)},
	}
	r, err := t.http.read(ctx, PathScan, query)
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, r.readError()
	}
	return decodeRows(r.body, table, from, to, limit)
}

// decodeRows reads the reply to a Scan and checks that it answers the question.
func decodeRows(body []byte, table, from, to string, limit int) ([]Row, error) {
	var rep RowsReply
	if err := json.Unmarshal(body, &rep); err != nil {
		return nil, ErrUnavailable.Wrap(err)
	}
	if rep.Rows == nil || len(rep.Rows) > limit {
		return nil, ErrUnavailable.New("reply with %d rows, limit %d", len(rep.Rows), limit)
	}
	last := ""
	for _, row := range rep.Rows {
		inRange := row.Key >= from && (to == "" || row.Key < to)
		if row.Table != table || !inRange || row.Key <= last || row.Version < 1 {
			return nil, ErrUnavailable.New("reply names row %s/%s, version %d", row.Table, row.Key, row.Version)
		}
		last = row.Key
	}
	return rep.Rows, nil
}
