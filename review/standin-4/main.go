// Command standin-4 plays the scripted cases of an independent review. It starts the
// project's programs as processes and stands in for minions, consumers and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases holds the cases by name. A case returns how the rule was broken; empty if it held.
var cases = map[string]func(rec *recorder, program string, hasTrouble bool) (broken string, err error){
	"twice":    playTwice,
	"crowd":    playCrowd,
	"limit":    playLimit,
	"replaced": playReplaced,
	"wide":     playWide,
}

// longestRun is how long a case may take.
const longestRun = 110 * time.Second

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-4 CASE PROGRAM FOLDER")
		os.Exit(exitNotRun)
	}
	rec, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestRun):
		}
		// The processes end with this one.
		os.Exit(exitNotRun)
	}()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with the disruption: %v", os.Args[1], hasTrouble)
	broken, err := cases[os.Args[1]](rec, os.Args[2], hasTrouble)
	switch {
	case err != nil:
		rec.note("The case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken != "":
		rec.note("The rule was broken: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(exitBroken)
	}
	rec.note("The rule held.")
	fmt.Println("held")
}
