// Package workloads holds the workloads that come with the program.
package workloads

import "embed"

// Files are the workload files, by name.
//
//go:embed *.yaml
var Files embed.FS

// Demo is the file that the demonstration runs.
const Demo = "sebeke-short.yaml"
