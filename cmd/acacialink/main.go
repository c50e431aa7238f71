// Command acacialink is every process between callers and endpoints: the
// entry hosts, the agents, the operators' commands and the stand-ins.
package main

import (
	"fmt"
	_ "net" // The resolver links the binary to the C library.
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "acacialink: no command given")
	os.Exit(2)
}
