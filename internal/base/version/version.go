// Package version identifies the running build.
package version

import "runtime/debug"

// String returns the module's version, the commit if it is known, and the Go
// version.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	if v == "" || v == "(devel)" {
		v = "development"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + info.GoVersion
}
