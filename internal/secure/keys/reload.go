package keys

import (
	"os"
	"sync"
	"sync/atomic"
)

// reloader keeps a value made from files, and replaces it when they change.
type reloader[T any] struct {
	load    func() (*T, error)
	paths   []string
	mu      sync.Mutex
	seen    []os.FileInfo
	current atomic.Pointer[T]
	counters
}

func newReloader[T any](load func() (*T, error), paths ...string) (*reloader[T], error) {
	r := &reloader[T]{load: load, paths: paths}
	if _, err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// check reloads if a file has changed since the last success. A value that
// can't be used never replaces a good one: a torn or wrong file would otherwise
// refuse all new connections at once on every router that it was copied to.
// It is tried again at each check, since certificate and key are two files
// and are seldom both there at the first.
func (r *reloader[T]) check() (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.reload()
	if err != nil {
		r.failures.Add(1)
		return false, err
	}
	if changed {
		r.reloads.Add(1)
	}
	return changed, nil
}

// reload stats before it reads: a file that changes in between is then older
// in seen than its content, and is read again at the next check.
func (r *reloader[T]) reload() (bool, error) {
	infos, err := statAll(r.paths)
	if err != nil {
		return false, err
	}
	if same(r.seen, infos) {
		return false, nil
	}
	v, err := r.load()
	if err != nil {
		return false, err
	}
	r.current.Store(v)
	r.seen = infos
	return true, nil
}

func statAll(paths []string) ([]os.FileInfo, error) {
	infos := make([]os.FileInfo, 0, len(paths))
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, ErrFile.Wrap(err)
		}
		infos = append(infos, info)
	}
	return infos, nil
}

// same compares identity, time and size: a file renamed into place may carry
// an old time.
func same(a, b []os.FileInfo) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !os.SameFile(a[i], b[i]) || a[i].Size() != b[i].Size() || !a[i].ModTime().Equal(b[i].ModTime()) {
			return false
		}
	}
	return true
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, ErrFile.Wrap(err)
}
