package platform

import (
	"context"
	"encoding/json"
	"net/http"
)

// HTTPVMList is the client of the platform's list of VMs. It tries each call
// once.
type HTTPVMList struct {
	http *httpClient
}

var _ VMList = (*HTTPVMList)(nil)

// NewHTTPVMList returns a client of the VM list at baseURL.
func NewHTTPVMList(baseURL string, opts HTTPOptions) *HTTPVMList {
	return &HTTPVMList{http: newHTTPClient(baseURL, opts)}
}

// List implements VMList.
func (l *HTTPVMList) List(ctx context.Context) ([]VM, error) {
	r, err := l.http.read(ctx, PathVMs, nil)
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, r.readError()
	}
	return decodeVMs(r.body)
}

// decodeVMs reads a VM list. A body without the list is an error, not an empty
// list: an empty list would read as "every VM is gone".
func decodeVMs(body []byte) ([]VM, error) {
	var rep VMsReply
	if err := json.Unmarshal(body, &rep); err != nil {
		return nil, ErrUnavailable.Wrap(err)
	}
	if rep.VMs == nil {
		return nil, ErrUnavailable.New("reply without a list")
	}
	return rep.VMs, nil
}
