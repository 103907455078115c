// Command ladder is the command line for operators.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/plantainladder/plantainladder/ladder/gateway"
	"github.com/plantainladder/plantainladder/util"
)

const usage = `ladder is the command line for operators of plantainladder.

  ladder [flags] contracts list
  ladder [flags] contracts get ORGANISATION
  ladder [flags] contracts put FILE          FILE has the revision that the edit is based on
  ladder [flags] contracts drop ORGANISATION REVISION
  ladder [flags] data-centres list
  ladder [flags] data-centres out NAME       takes it out of service and waits until that is in force everywhere
  ladder [flags] data-centres in NAME
  ladder [flags] jobs submit FILE            with --operator-token set to the organisation's token
  ladder [flags] jobs list
  ladder [flags] jobs show ID
  ladder [flags] jobs why ID                 prints the history of the job
  ladder [flags] jobs cancel ID
  ladder [flags] jobs release ID             returns a parked job to the queue
  ladder [flags] workers list
  ladder [flags] workers remove NAME
  ladder [flags] minions list
  ladder [flags] members list
  ladder [flags] members form ADDRESS...     forms the group of controllers
  ladder [flags] members add ADDRESS
  ladder [flags] members replace ID ADDRESS  adds ADDRESS and then removes ID
  ladder [flags] members remove ID
  ladder [flags] claims list                 lists requests with an unknown outcome
  ladder [flags] claims settle ORGANISATION KEY NOTE
  ladder [flags] status
  ladder [flags] fragmentation
  ladder [flags] wait INDEX                  waits until the view with an index is in force everywhere

Examples:
  ladder --gateways 127.0.0.1:7001 --operator-token 0per status
  ladder data-centres out kigali-2           with LADDER_GATEWAYS and LADDER_OPERATOR_TOKEN set

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 no answer.`

// Exit codes in addition to those of util.
const (
	exitRefused  = 3
	exitNoAnswer = 4
)

const (
	defaultTimeout = 10 * time.Second
	waitTimeout    = 20 * time.Second
	pollInterval   = 200 * time.Millisecond
)

// tool holds the client and the output of one run of the command line.
type tool struct {
	client *gateway.Client
	output string
	out    io.Writer
	wait   bool
}

func main() {
	os.Exit(run(os.Args[1:], os.Environ(), os.Stdout, os.Stderr))
}

func run(args, environ []string, out, errOut io.Writer) int {
	flags, words := splitArgs(args)
	t, err := newTool(flags, environ, out, errOut)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err == nil {
		err = t.dispatch(context.Background(), words)
	}
	return exitCode(err, errOut)
}

// splitArgs splits args into the flags before the command and the words of the
// command with its arguments.
func splitArgs(args []string) (flags, words []string) {
	for i := 0; i < len(args); i++ {
		if len(args[i]) == 0 || args[i][0] != '-' {
			return args[:i], args[i:]
		}
		if takesValue(args[i]) {
			i++
		}
	}
	return args, nil
}

func takesValue(arg string) bool {
	switch arg {
	case "--gateways", "-gateways", "--operator-token", "-operator-token",
		"--output", "-output", "--timeout", "-timeout":
		return true
	}
	return false
}

func newTool(flags, environ []string, out, errOut io.Writer) (t *tool, err error) {
	s := util.NewSettings("ladder", usage)
	var gateways, token string
	var timeout time.Duration
	t = &tool{
		out: out,
	}
	s.Flags.StringVar(&gateways, "gateways", "127.0.0.1:7001", "addresses of gateways, separated by commas")
	s.Flags.StringVar(&token, "operator-token", "", "secret shared by operators and gateways")
	s.Flags.StringVar(&t.output, "output", "text", "output format: text or json")
	s.Flags.DurationVar(&timeout, "timeout", defaultTimeout, "time limit of a request to one gateway")
	s.Flags.BoolVar(&t.wait, "wait", true, "wait until an edit is in force everywhere")
	err = s.Load(flags, environ, errOut, func() {
		s.Require(t.output == "text" || t.output == "json", "output: must be text or json")
		s.Require(timeout > 0, "timeout: must be above 0")
		s.Require(len(util.SplitList(gateways)) > 0, "gateways: must name at least one address")
		for _, address := range util.SplitList(gateways) {
			s.RequireAddress("gateways", address)
		}
	})
	if err != nil {
		return nil, err
	}
	t.client = gateway.NewClient(gateway.Config{
		Addresses: util.SplitList(gateways),
		Token:     token,
		Timeout:   timeout,
	})
	return t, nil
}

// A UsageError reports an unknown command or a wrong number of arguments.
type UsageError struct {
	// Command holds the words of the command line.
	Command string
}

// Error names the command.
func (e *UsageError) Error() string {
	return fmt.Sprintf("unknown or incomplete command %q; see ladder --help", e.Command)
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(errOut, "ladder:", err)
	var settingsErr *util.SettingsError
	var usageErr *UsageError
	var refused *gateway.RefusedError
	var notInForce *NotInForceError
	switch {
	case errors.As(err, &settingsErr), errors.As(err, &usageErr):
		return util.ExitUsage
	case errors.As(err, &refused) && refused.IsFinal():
		return exitRefused
	case errors.As(err, &notInForce):
		return util.ExitFailure
	case errors.As(err, &refused):
		return exitNoAnswer
	}
	return exitNoAnswer
}
