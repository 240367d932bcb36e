// Package workloads embeds the workload files that are part of the program.
package workloads

import "embed"

// Files holds the workload files by name.
//
//go:embed *.yaml
var Files embed.FS

// Demo is the workload file of the demo command.
const Demo = "sebeke-short.yaml"
