// Command filberthold distributes requests from callers over upstreams.
package main

import (
	"os"

	"filberthold/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
