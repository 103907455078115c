package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// A scenario plays a case. It returns an error if the case could not be played.
type scenario func(rec *record, trouble bool) error

var scenarios = map[string]scenario{
	"many-ends":       playManyEnds,
	"first-start":     playFirstStart,
	"sick-minion":     playSickMinion,
	"revoked-key":     playRevokedKey,
	"long-job":        playLongJob,
	"dark-minions":    playDarkMinions,
	"malformed":       playMalformed,
	"wide-job":        playWideJob,
	"stress":          playStress,
	"late-withdrawal": playLateWithdrawal,
}

var errNotReady = errors.New("the deployment did not get ready")

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the repository's root")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("BEGIN with disruption: %v", trouble)
	over := time.AfterFunc(118*time.Second, func() {
		rec.line("The script took too long.")
		rec.close()
		os.Exit(exitFailed)
	})
	defer over.Stop()
	if err = s(rec, trouble); err != nil {
		rec.line("The case could not be played: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	problems := rec.problems()
	if len(problems) > 0 {
		fmt.Println("broken:", problems[0])
		return exitBroken
	}
	rec.line("The rule held.")
	fmt.Println("held")
	return exitHeld
}
