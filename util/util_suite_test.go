package util_test

import (
	"bytes"
	"errors"
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/util"
)

func TestUtil(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "util")
}

// program holds the three settings of a test program.
type program struct {
	listen string
	rate   int
	wait   time.Duration
}

func load(args, environ []string) (p program, out string, err error) {
	var buf bytes.Buffer
	s := util.NewSettings("demo-prog", "demo-prog prints its settings.")
	s.Flags.StringVar(&p.listen, "listen", "127.0.0.1:1", "address")
	s.Flags.IntVar(&p.rate, "rate-limit", 5, "rate")
	s.Flags.DurationVar(&p.wait, "wait", time.Second, "time")
	err = s.Load(args, environ, &buf, func() {
		s.RequireAddress("listen", p.listen)
		s.Require(p.rate > 0, "rate-limit: must be above 0")
	})
	return p, buf.String(), err
}

var _ = Describe("Settings", func() {
	It("prefers flags to environment variables and these to defaults", func() {
		p, _, err := load([]string{"--rate-limit", "7"}, []string{"DEMO_PROG_RATE_LIMIT=9", "OTHER=1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(p.rate).To(Equal(7))
		Expect(p.listen).To(Equal("127.0.0.1:1"))
	})

	It("reports all problems in one error", func() {
		_, _, err := load([]string{"--listen", "nowhere", "--rate-limit", "0", "extra"}, []string{"DEMO_PROG_LISTNE=x"})
		var settingsErr *util.SettingsError
		Expect(errors.As(err, &settingsErr)).To(BeTrue())
		Expect(settingsErr.Problems).To(HaveLen(4))
		Expect(err.Error()).To(And(
			ContainSubstring("DEMO_PROG_LISTNE"), ContainSubstring("listen"),
			ContainSubstring("rate-limit"), ContainSubstring("extra")))
	})

	It("rejects an unknown flag", func() {
		_, _, err := load([]string{"--rate", "1"}, nil)
		Expect(err).To(MatchError(ContainSubstring("rate")))
	})

	It("prints help and version and returns flag.ErrHelp", func() {
		for _, arg := range []string{"--help", "--version"} {
			_, out, err := load([]string{arg}, nil)
			Expect(err).To(MatchError(flag.ErrHelp))
			Expect(out).To(ContainSubstring("demo-prog"))
		}
	})
})

var _ = Describe("Annotate", func() {
	It("adds the operation and wraps the cause", func() {
		cause := errors.New("cause")
		err := cause
		util.Annotate(&err, "part: do")
		Expect(err).To(MatchError("part: do: cause"))
		Expect(errors.Is(err, cause)).To(BeTrue())
		err = nil
		util.Annotate(&err, "part: do")
		Expect(err).NotTo(HaveOccurred())
	})
})
