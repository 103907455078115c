// Command check runs all tests of the repository and exits with 1 if one fails.
// Tests that KNOWN-RED.txt lists may fail. They are printed, and so are listed
// tests that pass.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
)

const knownRedFile = "KNOWN-RED.txt"

// modules lists the modules of the workspace, whether their tests run with the
// race detector, and whether their suites run one at a time because they start
// processes.
var modules = []struct {
	folder     string
	race       bool
	sequential bool
}{
	{
		folder: ".",
		race:   true,
	},
	{
		folder: "controller",
		race:   true,
	},
	{
		folder: "gateway",
		race:   true,
	},
	{
		folder: "ladder",
	},
	{
		folder: "platform",
		race:   true,
	},
	{
		folder: "standin",
	},
	{
		folder:     "prove",
		sequential: true,
	},
}

// summary holds the outcomes of test cases: the number that passed and the names of
// the others.
type summary struct {
	passed           int
	failed           []string
	knownRed         []string
	unexpectedPasses []string
}

func main() {
	only := flag.String("only", "", "run only the packages whose path contains this text")
	flag.Parse()
	if err := run(*only); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "check:", err)
		os.Exit(1)
	}
}

var errTestsFailed = errors.New("tests failed")

func run(only string) error {
	known, err := readKnownRed()
	if err != nil {
		return err
	}
	reports, err := os.MkdirTemp("", "plantainladder-reports-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(reports) }()
	var sequential, parallel []suite
	for _, m := range modules {
		packages, err := testPackages(m.folder)
		if err != nil {
			return err
		}
		for _, pkg := range packages {
			s := suite{
				folder: m.folder,
				pkg:    pkg,
				race:   m.race && !strings.HasSuffix(pkg, singleGoroutineSuffix),
			}
			switch {
			case !strings.Contains(pkg, only):
			case m.sequential:
				sequential = append(sequential, s)
			default:
				parallel = append(parallel, s)
			}
		}
	}
	t := runParallel(parallel, reports, known)
	for _, s := range sequential {
		t = t.with(s.run(reports, known))
	}
	return t.print()
}

// singleGoroutineSuffix is the path suffix of the package whose tests use one goroutine.
// The race detector could find nothing there and makes them ten times slower.
const singleGoroutineSuffix = "/replay"

// A suite holds how to run the tests of one package.
type suite struct {
	folder string
	pkg    string
	race   bool
}

// runParallel runs suites in parallel. They must not start processes.
func runParallel(list []suite, reports string, known []string) (t summary) {
	next := make(chan suite)
	summaries := make(chan summary)
	for range parallelSuites {
		go func() {
			var partial summary
			for s := range next {
				partial = partial.with(s.run(reports, known))
			}
			summaries <- partial
		}()
	}
	for _, s := range list {
		next <- s
	}
	close(next)
	for range parallelSuites {
		t = t.with(<-summaries)
	}
	return t
}

// parallelSuites is the number of suites that run in parallel. It is small since each
// uses several cores while it is compiled.
const parallelSuites = 3

func readKnownRed() (known []string, err error) {
	f, err := os.Open(knownRedFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	s := bufio.NewScanner(f)
	for s.Scan() {
		if name, ok := strings.CutPrefix(s.Text(), "test: "); ok {
			known = append(known, strings.TrimSpace(name))
		}
	}
	return known, s.Err()
}

// testPackages returns the import paths of the packages of a module that have tests.
func testPackages(folder string) ([]string, error) {
	cmd := exec.Command("go", "list", "-f", "{{if or .TestGoFiles .XTestGoFiles}}{{.ImportPath}}{{end}}", "./...")
	cmd.Dir = folder
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("list packages of %s: %w", folder, err)
	}
	return strings.Fields(string(out)), nil
}

// run runs a suite, prints its result and counts its cases.
func (s suite) run(reports string, known []string) summary {
	report := filepath.Join(reports, strings.ReplaceAll(s.pkg, "/", "_")+".json")
	args := []string{"test", "-count=1", "-timeout=40m"}
	if s.race {
		args = append(args, "-race")
	}
	args = append(args, s.pkg, "-ginkgo.json-report="+report)
	cmd := exec.Command("go", args...)
	cmd.Dir = s.folder
	out, err := cmd.CombinedOutput()
	t, listed := readReport(report, known)
	switch {
	case err == nil:
		fmt.Println("ok  ", s.pkg)
	case len(t.failed) == 0 && listed:
		fmt.Println("red ", s.pkg, "(only listed cases)")
	default:
		fmt.Printf("FAIL %s\n%s\n", s.pkg, out)
		if len(t.failed) == 0 {
			t.failed = append(t.failed, s.pkg)
		}
	}
	return t
}

// readReport counts the cases of a Ginkgo report. listed is true if cases failed
// and KNOWN-RED.txt lists all of them.
func readReport(path string, known []string) (t summary, listed bool) {
	b, err := os.ReadFile(path)
	if err != nil {
		return t, false
	}
	var suites []types.Report
	if json.Unmarshal(b, &suites) != nil {
		return t, false
	}
	for _, s := range suites {
		for _, spec := range s.SpecReports {
			t = t.withSpec(spec, known)
		}
	}
	return t, len(t.failed) == 0 && len(t.knownRed) > 0
}

func (t summary) withSpec(spec types.SpecReport, known []string) summary {
	if spec.LeafNodeType != types.NodeTypeIt {
		if spec.Failed() {
			t.failed = append(t.failed, spec.LeafNodeType.String())
		}
		return t
	}
	name := spec.FullText()
	isListed := slices.Contains(known, name)
	switch {
	case spec.Failed() && isListed:
		t.knownRed = append(t.knownRed, name)
	case spec.Failed():
		t.failed = append(t.failed, name)
	case spec.State == types.SpecStatePassed:
		t.passed++
		if isListed {
			t.unexpectedPasses = append(t.unexpectedPasses, name)
		}
	}
	return t
}

func (t summary) with(other summary) summary {
	t.passed += other.passed
	t.failed = append(t.failed, other.failed...)
	t.knownRed = append(t.knownRed, other.knownRed...)
	t.unexpectedPasses = append(t.unexpectedPasses, other.unexpectedPasses...)
	return t
}

func (t summary) print() error {
	for _, name := range t.knownRed {
		fmt.Println("known red:", name)
	}
	for _, name := range t.unexpectedPasses {
		fmt.Println("listed as known red but passes:", name)
	}
	for _, name := range t.failed {
		fmt.Println("failed:", name)
	}
	fmt.Printf("\n%d passed, %d failed\n", t.passed, len(t.failed))
	if len(t.failed) > 0 {
		return errTestsFailed
	}
	return nil
}
