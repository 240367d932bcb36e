package keys

import (
	"os"
	"sync"
	"sync/atomic"
)

// reloader holds a value that is loaded from files and replaced when they change.
type reloader[T any] struct {
	load        func() (*T, error)
	paths       []string
	mu          sync.Mutex
	loadedInfos []os.FileInfo
	current     atomic.Pointer[T]
	counters
}

func newReloader[T any](load func() (*T, error), paths ...string) (*reloader[T], error) {
	r := &reloader[T]{load: load, paths: paths}
	if _, err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// check reloads if a file has changed since the last successful load. A failed
// load never replaces the current value: otherwise an incomplete or wrong file
// would make every router that it was copied to reject all new connections. The
// load is tried again at each check, since certificate and key are two files,
// and the first check often finds only one of them updated.
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

// reload calls stat before it reads: if a file changes in between, loadedInfos
// is older than the content, and the next check reads the file again.
func (r *reloader[T]) reload() (bool, error) {
	infos, err := statAll(r.paths)
	if err != nil {
		return false, err
	}
	if sameFiles(r.loadedInfos, infos) {
		return false, nil
	}
	v, err := r.load()
	if err != nil {
		return false, err
	}
	r.current.Store(v)
	r.loadedInfos = infos
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

// sameFiles compares identity, size and modification time, since a file that is
// renamed into place may have an old modification time.
func sameFiles(a, b []os.FileInfo) bool {
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
