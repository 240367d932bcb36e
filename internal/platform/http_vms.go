package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
)

// HTTPVMList is the client of the platform's list of VMs. It tries each call
// once. Where the platform gives the list an entity tag, the list is sent only
// if it has changed: it is read every few seconds and changes every few minutes.
type HTTPVMList struct {
	http *httpClient

	mu   sync.Mutex
	etag string
	last []VM
}

var _ VMList = (*HTTPVMList)(nil)

// NewHTTPVMList returns a client of the VM list at baseURL.
func NewHTTPVMList(baseURL string, opts HTTPOptions) *HTTPVMList {
	return &HTTPVMList{http: newHTTPClient(baseURL, opts)}
}

// List implements VMList. The list must not be changed.
func (l *HTTPVMList) List(ctx context.Context) ([]VM, error) {
	etag, last := l.known()
	r, err := l.http.readUnless(ctx, PathVMs, nil, etag)
	switch {
	case err != nil:
		return nil, err
	case r.status == http.StatusNotModified && etag != "":
		return last, nil
	case r.status != http.StatusOK:
		return nil, r.readError()
	}
	vms, err := decodeVMs(r.body)
	if err == nil {
		l.keep(r.header.Get("ETag"), vms)
	}
	return vms, err
}

func (l *HTTPVMList) known() (string, []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.last
}

func (l *HTTPVMList) keep(etag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.last = etag, vms
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
