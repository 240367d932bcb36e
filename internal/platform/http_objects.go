package platform

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"unicode/utf8"
)

const contentTypeBytes = "application/octet-stream"

// HTTPObjects is the client of the object store. It tries each call once.
type HTTPObjects struct {
	http *httpClient
}

var _ Objects = (*HTTPObjects)(nil)

// NewHTTPObjects returns a client of the object store at baseURL.
func NewHTTPObjects(baseURL string, opts HTTPOptions) *HTTPObjects {
	return &HTTPObjects{http: newHTTPClient(baseURL, opts)}
}

// Put implements Objects.
func (o *HTTPObjects) Put(ctx context.Context, name string, data []byte) error {
	path, err := objectPath(name)
	if err != nil {
		return err
	}
	r, err := o.http.write(ctx, http.MethodPut, path, contentTypeBytes, data)
	if err != nil {
		return err
	}
	switch {
	case r.status == http.StatusNoContent:
		return nil
	case r.status == http.StatusConflict && r.errorCode() == CodeExists:
		return &ConflictError{Current: Row{Table: ObjectsTable, Key: name, Version: 1}}
	default:
		return r.writeError()
	}
}

// Get implements Objects.
func (o *HTTPObjects) Get(ctx context.Context, name string) ([]byte, error) {
	path, err := objectPath(name)
	if err != nil {
		return nil, err
	}
	r, err := o.http.read(ctx, path, nil)
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, r.readError()
	}
	return r.body, nil
}

// objectPath returns the path of an object. Slashes in a name stay slashes.
func objectPath(name string) (string, error) {
	if err := CheckObjectName(name); err != nil {
		return "", err
	}
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return PathObjects + strings.Join(parts, "/"), nil
}

// CheckObjectName reports, as ErrInvalid, a name that a path cannot carry: on
// the way, "a//b" and "a/./b" may be rewritten to "a/b", another object.
func CheckObjectName(name string) error {
	if !utf8.ValidString(name) {
		return ErrInvalid.New("object name %q is not UTF-8", name)
	}
	for _, p := range strings.Split(name, "/") {
		if p == "" || p == "." || p == ".." {
			return ErrInvalid.New("object name %q has an empty or a dot element", name)
		}
	}
	return nil
}
