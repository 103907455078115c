// Command review-2 runs the scripted cases of the second independent review: it starts
// the project's programs as processes, with stand-ins for consumers, the operator, the
// minions and the platform, and judges what these see.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A script runs one case and returns what broke the rule; empty if it held.
type script func(c *cluster, isTroubled bool) (broken string, err error)

type caseConfig struct {
	cores, fronts int
	labels        [][]string
	run           script
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	k, ok := cases()[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(k, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(k caseConfig, folder string, isTroubled bool) int {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	time.AfterFunc(110*time.Second, func() {
		fmt.Println("not run: out of time")
		os.Exit(exitNotRun)
	})
	c, err := newCluster(rec, k.cores, k.fronts)
	defer c.stop()
	broken := ""
	if err == nil {
		broken, err = prepareAndRun(c, k, isTroubled)
	}
	switch {
	case err != nil:
		rec.write("verdict", "not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		rec.write("verdict", "broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.write("verdict", "held")
	fmt.Println("held")
	return exitHeld
}

func prepareAndRun(c *cluster, k caseConfig, isTroubled bool) (broken string, err error) {
	for _, labels := range k.labels {
		if _, err = c.addMinion(labels...); err != nil {
			return "", err
		}
	}
	if err = c.configure(desiredState{
		isPublic: true,
		keys:     []string{firstKey, secondKey},
	}); err != nil {
		return "", err
	}
	if err = c.awaitReady(20 * time.Second); err != nil {
		return "", err
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(max(0, 10*time.Second-time.Since(c.rec.startedAt)))
	return k.run(c, isTroubled)
}
