package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// play plays one case. It reports what broke the rule, or nothing if it held.
type play func(w *world, isTrouble bool) (violations []string, err error)

var cases = map[string]play{}

func main() {
	os.Exit(mainStatus())
}

func mainStatus() int {
	if len(os.Args) == 6 && os.Args[1] == "engine" {
		events, _ := strconv.Atoi(os.Args[4])
		eventTime, _ := time.ParseDuration(os.Args[5])
		return engineMain(os.Args[2], os.Args[3], events, eventTime)
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases NAME ROOT RECORD")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	w, err := newWorld(ctx, root, os.Args[3])
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer w.end()
	isTrouble := os.Getenv("TROUBLE") != "0"
	violations, err := cases[os.Args[1]](w, isTrouble)
	for _, v := range violations {
		w.log("VIOLATION: %s", v)
		fmt.Println("violation:", v)
	}
	switch {
	case len(violations) > 0:
		return 1
	case err != nil:
		w.log("the case could not run: %v", err)
		fmt.Println("cannot run:", err)
		return 2
	}
	w.log("the rule held")
	fmt.Println("the rule held")
	return 0
}
