package config

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"
)

// ErrFiles means that the files of a configuration can't be read.
var ErrFiles = errs.Class("config: files")

const overlaySuffix = ".yaml"

// ReadBundle reads a base file and, from the folder sites, one overlay for
// each site, named after it. An empty sites reads no overlays.
func ReadBundle(base, sites string) (Bundle, error) {
	data, err := os.ReadFile(base)
	if err != nil {
		return Bundle{}, ErrFiles.Wrap(err)
	}
	b := Bundle{Base: data, Overlays: make(map[string][]byte)}
	if sites == "" {
		return b, nil
	}
	names, err := filepath.Glob(filepath.Join(sites, "*"+overlaySuffix))
	if err != nil {
		return Bundle{}, ErrFiles.Wrap(err)
	}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return Bundle{}, ErrFiles.Wrap(err)
		}
		site := strings.TrimSuffix(filepath.Base(name), overlaySuffix)
		b.Overlays[site] = data
	}
	return b, nil
}
