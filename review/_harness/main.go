package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is the longest time that a case may take.
const maxLength = 118 * time.Second

// cases has the scripts by name. Each reports whether the rule was broken.
var cases = map[string]func(ctx context.Context, w *world, hasTrouble bool) (isBroken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/wigeonstand", "the program of the deploy file")
	template := flag.String("template", "deploy/entry.yaml.tmpl", "the settings template of the deploy file")
	record := flag.String("record", "record.txt", "the record to write")
	keep := flag.String("logs", "", "a folder to copy the logs of the processes to")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitFailed
	}
	w, err := newWorld(*binary, *template, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	// Whatever ends the case, its processes end with it.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxLength):
		}
		w.log("could not run to its end")
		w.close()
		os.Exit(exitFailed)
	}()
	isBroken, err := play(ctx, w, os.Getenv("TROUBLE") != "0")
	if *keep != "" {
		_ = os.CopyFS(*keep, os.DirFS(w.folder))
	}
	switch {
	case err != nil:
		w.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case isBroken:
		return exitBroken
	}
	return exitHeld
}
