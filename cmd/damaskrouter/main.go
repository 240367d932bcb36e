// Command damaskrouter is the router fleet's one binary: routers, callers'
// commands, operators' commands and stand-ins.
package main

import (
	"os"

	"damaskrouter.example/damaskrouter/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
