// Command check runs every test of the repository and gives one verdict. Tests
// that KNOWN-RED.txt lists may fail; they are printed, and so is a listed test
// that passes.
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

// modules lists the modules of the workspace and whether the race detector
// goes along with their tests.
var modules = []struct {
	folder string
	race   bool
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
		folder: "prove",
	},
}

// tally counts what was seen.
type tally struct {
	passed    int
	failed    []string
	knownRed  []string
	nowPasses []string
}

func main() {
	only := flag.String("only", "", "run only the packages whose path contains this text")
	flag.Parse()
	if err := run(*only); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "check:", err)
		os.Exit(1)
	}
}

var errRed = errors.New("tests failed")

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
	var t tally
	for _, m := range modules {
		packages, err := testPackages(m.folder)
		if err != nil {
			return err
		}
		for _, pkg := range packages {
			if strings.Contains(pkg, only) {
				t = t.with(runPackage(m.folder, pkg, m.race, reports, known))
			}
		}
	}
	return t.print()
}

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

// testPackages returns the packages of a module that have tests.
func testPackages(folder string) ([]string, error) {
	cmd := exec.Command("go", "list", "-f", "{{if or .TestGoFiles .XTestGoFiles}}{{.ImportPath}}{{end}}", "./...")
	cmd.Dir = folder
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("list packages of %s: %w", folder, err)
	}
	return strings.Fields(string(out)), nil
}

func runPackage(folder, pkg string, race bool, reports string, known []string) tally {
	report := filepath.Join(reports, strings.ReplaceAll(pkg, "/", "_")+".json")
	args := []string{"test", "-count=1", "-timeout=40m"}
	if race {
		args = append(args, "-race")
	}
	args = append(args, pkg, "-ginkgo.json-report="+report)
	cmd := exec.Command("go", args...)
	cmd.Dir = folder
	out, err := cmd.CombinedOutput()
	t, listed := readReport(report, known)
	switch {
	case err == nil:
		fmt.Println("ok  ", pkg)
	case len(t.failed) == 0 && listed:
		fmt.Println("red ", pkg, "(only listed cases)")
	default:
		fmt.Printf("FAIL %s\n%s\n", pkg, out)
		if len(t.failed) == 0 {
			t.failed = append(t.failed, pkg)
		}
	}
	return t
}

// readReport counts the specs of a report and says whether all that failed are
// listed as known.
func readReport(path string, known []string) (t tally, listed bool) {
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

func (t tally) withSpec(spec types.SpecReport, known []string) tally {
	if spec.LeafNodeType != types.NodeTypeIt {
		if spec.Failed() {
			t.failed = append(t.failed, spec.LeafNodeType.String())
		}
		return t
	}
	name := spec.FullText()
	isKnown := slices.Contains(known, name)
	switch {
	case spec.Failed() && isKnown:
		t.knownRed = append(t.knownRed, name)
	case spec.Failed():
		t.failed = append(t.failed, name)
	case spec.State == types.SpecStatePassed:
		t.passed++
		if isKnown {
			t.nowPasses = append(t.nowPasses, name)
		}
	}
	return t
}

func (t tally) with(other tally) tally {
	t.passed += other.passed
	t.failed = append(t.failed, other.failed...)
	t.knownRed = append(t.knownRed, other.knownRed...)
	t.nowPasses = append(t.nowPasses, other.nowPasses...)
	return t
}

func (t tally) print() error {
	for _, name := range t.knownRed {
		fmt.Println("known red:", name)
	}
	for _, name := range t.nowPasses {
		fmt.Println("listed as known red but passes:", name)
	}
	for _, name := range t.failed {
		fmt.Println("failed:", name)
	}
	fmt.Printf("\n%d passed, %d failed\n", t.passed, len(t.failed))
	if len(t.failed) > 0 {
		return errRed
	}
	return nil
}
