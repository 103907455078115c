package caller_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/gateway/caller"
	"github.com/plantainladder/plantainladder/gateway/controller"
)

// Operators looked for a lost leader while there was one, whose disk was full.
var _ = DescribeTable("The failure of a command that no leader has accepted has the reason", func(err *controller.NoLeaderError, outcome, reason string) {
	f := caller.CommandFailure(err)
	Expect(f.Status).To(Equal(http.StatusServiceUnavailable))
	Expect(f.Body.Outcome).To(Equal(outcome))
	Expect(f.Body.Reason).To(Equal(reason))
	Expect(f.Body.RetryAfterMS).To(BeNumerically(">", 0))
},
	Entry("of a leader that commits nothing", &controller.NoLeaderError{
		Cause: &controller.CommitStalledError{},
	}, api.OutcomeNotRun, "commit-stalled"),
	Entry("that no leader is known", &controller.NoLeaderError{
		Cause: &controller.NoLeaderKnownError{},
	}, api.OutcomeNotRun, "no-leader"),
	Entry("of an unknown outcome if a controller may have accepted it before", &controller.NoLeaderError{
		Sent:  true,
		Cause: &controller.CommitStalledError{},
	}, api.OutcomeUnknown, "no-leader"),
)
