// Command wigeonstand runs an instance of the scheduler.
package main

import (
	"os"

	"github.com/wigeonstand/wigeonstand/cmd/wigeonstand/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}
