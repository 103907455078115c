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

// Version is the version of all programs of this repository.
const Version = "0.15.0"

// Exit codes of all programs.
const (
	// ExitFailure means that the program started and failed.
	ExitFailure = 1
	// ExitUsage means that the settings or the command are invalid and nothing
	// was done.
	ExitUsage = 2
)

// A SettingsError lists all problems found in the settings of a program.
type SettingsError struct {
	// Program is the program's name.
	Program string
	// Problems holds one text for each problem.
	Problems []string
}

// Error returns all problems in one message.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: %d problems in the settings:\n  - %s",
		e.Program, len(e.Problems), strings.Join(e.Problems, "\n  - "))
}

// Settings reads a program's settings from flags and environment variables.
// A flag takes precedence over its variable; the variable of the flag "data-dir"
// of the program "controller" is CONTROLLER_DATA_DIR.
type Settings struct {
	// Flags holds the program's flags.
	Flags    *flag.FlagSet
	program  string
	version  *bool
	problems []string
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

// Require records a problem, formatted as by fmt.Sprintf, unless ok is true.
func (s *Settings) Require(ok bool, format string, args ...any) {
	if !ok {
		s.problems = append(s.problems, fmt.Sprintf(format, args...))
	}
}

// Load parses args and the environment, then runs check, which calls Require.
// It returns flag.ErrHelp for --help and --version, and a *SettingsError that
// lists all problems otherwise.
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
	if len(s.problems) > 0 {
		return &SettingsError{
			Program:  s.program,
			Problems: s.problems,
		}
	}
	return nil
}

// MustLoad is Load with the arguments and the environment of the process. It
// exits after --help and --version, and with ExitUsage on problems.
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
		isOwn := strings.HasPrefix(name, envPrefix(s.program)+"_")
		s.Require(!isOwn || known[name], "unknown environment variable %s", name)
	}
}

// SplitList splits a comma-separated setting and omits empty items.
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

// RequireAddress records a problem unless value is a host and a port.
func (s *Settings) RequireAddress(name, value string) {
	_, port, err := net.SplitHostPort(value)
	n, portErr := strconv.Atoi(port)
	s.Require(err == nil && portErr == nil && n >= 0 && n <= maxPort, "%s: %q is not a host and a port", name, value)
}

// RequireLogLevel records a problem unless value is a log level.
func (s *Settings) RequireLogLevel(name, value string) {
	known := slices.Contains([]string{"debug", "info", "warn", "error"}, value)
	s.Require(known, "%s: %q is not debug, info, warn or error", name, value)
}

const maxPort = 65535
