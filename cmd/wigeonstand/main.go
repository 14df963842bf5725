// Command wigeonstand is the scheduler's daemon.
package main

import (
	"os"

	"github.com/wigeonstand/wigeonstand/cmd/wigeonstand/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}
