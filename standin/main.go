// Command standin runs stand-ins for trials and tests: a minion, workers, or
// callers that send a load of requests.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/plantainladder/plantainladder/util"
)

const usage = `standin runs stand-ins for minions, workers and callers in trials and tests.

  standin minion --name m1 --gateways 127.0.0.1:7001 ...
  standin worker --name w --count 8 --gateways 127.0.0.1:7001 ...
  standin load   --gateways 127.0.0.1:7001 --organisation imanzi --rate 100 ...

Each command prints its flags with --help.`

func main() {
	if len(os.Args) < 2 {
		_, _ = fmt.Fprintln(os.Stderr, usage)
		os.Exit(util.ExitUsage)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	var err error
	switch os.Args[1] {
	case "minion":
		err = runMinion(ctx, os.Args[2:])
	case "worker":
		err = runWorkers(ctx, os.Args[2:])
	case "load":
		err = runLoad(ctx, os.Args[2:])
	case "--help", "-h":
		fmt.Println(usage)
	case "--version":
		fmt.Println("standin", util.Version)
	default:
		_, _ = fmt.Fprintf(os.Stderr, "unknown command %q\n\n%s\n", os.Args[1], usage)
		os.Exit(util.ExitUsage)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(util.ExitFailure)
	}
}

func printJSON[T any](v T) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
