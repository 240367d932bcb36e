// Command damaskrouter is the only binary of the router fleet. It runs routers,
// the commands of callers and operators, and stand-ins for trials.
package main

import (
	"os"

	"damaskrouter.example/damaskrouter/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
