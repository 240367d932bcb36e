package config

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"
)

// ErrFiles means that a file of a configuration can't be read.
var ErrFiles = errs.Class("config: files")

const overlaySuffix = ".yaml"

// ReadBundle reads a bundle from the file base and the overlays in the directory
// sitesDir, one file per site, named after the site. If sitesDir is empty, the
// bundle has no overlays. The error is ErrFiles.
func ReadBundle(base, sitesDir string) (Bundle, error) {
	data, err := os.ReadFile(base)
	if err != nil {
		return Bundle{}, ErrFiles.Wrap(err)
	}
	b := Bundle{Base: data, Overlays: make(map[string][]byte)}
	if sitesDir == "" {
		return b, nil
	}
	files, err := filepath.Glob(filepath.Join(sitesDir, "*"+overlaySuffix))
	if err != nil {
		return Bundle{}, ErrFiles.Wrap(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return Bundle{}, ErrFiles.Wrap(err)
		}
		site := strings.TrimSuffix(filepath.Base(file), overlaySuffix)
		b.Overlays[site] = data
	}
	return b, nil
}
