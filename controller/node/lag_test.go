package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
)

// A loop that is held up must not be taken for a process that stood still, and its log has
// to tell what held it up.
var _ = Describe("The log of a late event loop", func() {
	var (
		o     *loopObserver
		lines *gbytes.Buffer
	)

	BeforeEach(func() {
		lines = gbytes.NewBuffer()
		o = newLoopObserver(zerolog.New(lines), newMeters())
		DeferCleanup(metrics.UnregisterAllMetrics)
	})

	It("has the event that took too long, and its slowest effect", func() {
		o.observe(timing{
			Event: control.PeerMessageReceived{
				Message: consensus.Message{
					Body: consensus.AppendReply{},
				},
			},
			EndedAt:     time.Now(),
			Step:        90 * time.Millisecond,
			Perform:     30 * time.Millisecond,
			Effects:     2,
			Slowest:     control.WriteLog{},
			SlowestTook: 29 * time.Millisecond,
			Queued:      7,
		})
		Expect(lines).To(gbytes.Say(`"event":"peer-message-received/append-reply","waited":0,"step":90,"perform":30,"effects":2,"queued":7,` +
			`"slowest":"write-log","slowest-took":29,"sampled":.*"processor":.*"major-faults":.*"The event loop was held up."`))
	})

	It("has the first of the events that waited for too long", func() {
		for _, waited := range []time.Duration{0, heldUpAfter, heldUpAfter + 1, time.Second, 0, time.Second} {
			o.observe(timing{
				Event:   control.Tick{},
				EndedAt: time.Now(),
				Waited:  waited,
			})
		}
		Expect(string(lines.Contents())).To(MatchRegexp(`^.*"event":"tick","waited":100.*\n.*"event":"tick","waited":1000,.*\n$`))
	})
})
