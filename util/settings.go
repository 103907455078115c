package util

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3"
)

// Version is the version of every program of this repository.
const Version = "0.1.0"

// Exit codes of every program.
const (
	// ExitFailure means that the program ran and failed.
	ExitFailure = 1
	// ExitUsage means that the settings were refused and nothing was touched.
	ExitUsage = 2
)

// A SettingsError lists every fault found in the settings of a program.
type SettingsError struct {
	// Program is the program's name.
	Program string
	// Problems holds one sentence for each fault.
	Problems []string
}

// Error returns all faults in one message.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: %d faults in the settings:\n  - %s",
		e.Program, len(e.Problems), strings.Join(e.Problems, "\n  - "))
}

// Settings reads a program's settings from flags and environment variables.
// A flag goes before its variable; the variable of the flag "data-dir" of the
// program "controller" is CONTROLLER_DATA_DIR.
type Settings struct {
	// Flags holds the program's flags.
	Flags   *flag.FlagSet
	program string
	version *bool
	faults  []string
}

// NewSettings returns empty settings for a program; usage is its help text.
func NewSettings(program, usage string) *Settings {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.Usage = func() {
		out := fs.Output()
		_, _ = fmt.Fprintf(out, "%s\n\nFlags (or environment variables %s_…):\n", usage, envPrefix(program))
		fs.PrintDefaults()
	}
	return &Settings{
		Flags:   fs,
		program: program,
		version: fs.Bool("version", false, "print the version and exit"),
	}
}

// Require notes a fault unless ok holds.
func (s *Settings) Require(ok bool, format string, args ...any) {
	if !ok {
		s.faults = append(s.faults, fmt.Sprintf(format, args...))
	}
}

// Load parses args and the environment, then runs check, which calls Require.
// It returns flag.ErrHelp for --help and --version, and a *SettingsError that
// lists every fault otherwise.
func (s *Settings) Load(args, environ []string, out io.Writer, check func()) (err error) {
	s.Flags.SetOutput(out)
	s.requireKnownVariables(environ)
	err = ff.Parse(s.Flags, args, ff.WithEnvVarPrefix(envPrefix(s.program)))
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err == nil && *s.version {
		_, _ = fmt.Fprintln(out, s.program, Version)
		return flag.ErrHelp
	}
	s.Require(err == nil, "%v", err)
	s.Require(s.Flags.NArg() == 0, "unexpected argument %q", s.Flags.Arg(0))
	check()
	if len(s.faults) > 0 {
		return &SettingsError{
			Program:  s.program,
			Problems: s.faults,
		}
	}
	return nil
}

// MustLoad is Load for a main function: it exits on help and on faults.
func (s *Settings) MustLoad(check func()) {
	err := s.Load(os.Args[1:], os.Environ(), os.Stderr, check)
	switch {
	case errors.Is(err, flag.ErrHelp):
		os.Exit(0)
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitUsage)
	}
}

func (s *Settings) requireKnownVariables(environ []string) {
	known := map[string]bool{}
	s.Flags.VisitAll(func(f *flag.Flag) {
		known[envName(s.program, f.Name)] = true
	})
	for _, pair := range environ {
		name, _, _ := strings.Cut(pair, "=")
		ours := strings.HasPrefix(name, envPrefix(s.program)+"_")
		s.Require(!ours || known[name], "unknown environment variable %s", name)
	}
}

// SplitList splits a comma-separated setting and drops empty items.
func SplitList(s string) []string {
	var list []string
	for item := range strings.SplitSeq(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

func envPrefix(program string) string {
	return strings.ToUpper(strings.ReplaceAll(program, "-", "_"))
}

func envName(program, name string) string {
	return envPrefix(program) + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// RequireAddress notes a fault unless value is a host and a port.
func (s *Settings) RequireAddress(name, value string) {
	_, port, err := net.SplitHostPort(value)
	n, bad := strconv.Atoi(port)
	s.Require(err == nil && bad == nil && n >= 0 && n <= maxPort, "%s: %q is not a host and a port", name, value)
}

// RequireLogLevel notes a fault unless value is a known log level.
func (s *Settings) RequireLogLevel(name, value string) {
	known := slices.Contains([]string{"debug", "info", "warn", "error"}, value)
	s.Require(known, "%s: %q is not debug, info, warn or error", name, value)
}

const maxPort = 65535
