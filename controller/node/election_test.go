package node

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/dispatch"
)

var _ = Describe("The log of a controller", func() {
	var (
		ctx   context.Context
		n     *Node
		lines *gbytes.Buffer
	)

	BeforeEach(func() {
		lines = gbytes.NewBuffer()
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		var err error
		n, err = New(ctx, Config{
			Listen:        "127.0.0.1:0",
			DataDir:       GinkgoT().TempDir(),
			SnapshotEvery: 100,
			Logger:        zerolog.New(lines),
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			cancel()
			// Each controller registers its metrics with the process.
			metrics.UnregisterAllMetrics()
		})
	})

	It("has a line on a vote that waited for the disk, and none on other messages", func() {
		for _, body := range []consensus.Body{consensus.VoteReply{}, consensus.AppendReply{}} {
			n.perform(control.SendMessage{
				Message: consensus.Message{
					Term: 9,
					Body: body,
				},
				Address:   "127.0.0.1:1",
				AfterSync: true,
			})
		}
		time.Sleep(maxVoteWait + 10*time.Millisecond)
		go func() { _ = n.writer.Run(ctx) }()
		Eventually(lines).WithTimeout(5 * time.Second).
			Should(gbytes.Say(`"waited":\d{3,}.*"term":9,"to":"127.0.0.1:1".*"A vote was sent late`))
		Consistently(lines).WithTimeout(200 * time.Millisecond).ShouldNot(gbytes.Say("sent late"))
	})

	It("has the answers of the voters to a failed election", func() {
		n.perform(control.LogElection{
			Election: consensus.ElectionFailed{
				Kind:     consensus.ElectionVote,
				End:      consensus.EndedTimeout,
				Term:     3,
				Duration: time.Second,
				Granted:  []string{"a"},
				Refused: []consensus.RefusedVote{
					{
						Voter:  "b",
						Reason: consensus.RefusedVoted,
					},
				},
				Silent: []string{"c"},
			},
		})
		Eventually(lines).Should(gbytes.Say(`"round":"vote","cause":"timeout","term":3,"took":1000,` +
			`"granted":\["a"\],"refused":\["b voted"\],"silent":\["c"\].*"Election failed."`))
	})

	It("tells the decisions of a committed round from a round that was only proposed", func() {
		n.perform(control.LogDecision{
			Record: dispatch.DecisionRecord{
				Text: "Run has ended.",
			},
			Commit: control.RoundCommit{
				Round: 7,
				Index: 9,
				Took:  time.Second,
			},
		})
		n.perform(control.LogUnseenRound{
			Reason: control.UnseenLeadershipEnded,
			Round:  8,
			Ends:   2,
			Age:    time.Second,
		})
		Eventually(lines).Should(gbytes.Say(`"round":7,"log-index":9,"commit-took":1000,.*"Run has ended."`))
		Eventually(lines).Should(gbytes.Say(`"reason":"leadership-ended","round":8,"ends":2,"placements":0,"age":1000,`))
	})

	It("has what the voters hold while the leader commits nothing", func() {
		n.perform(control.LogCommitStalled{
			Waited:      time.Second,
			CommitIndex: 7,
			LastIndex:   9,
			SyncedIndex: 8,
			Voters: []control.VoterProgress{
				{
					Address:    "b:1",
					Match:      7,
					ContactAge: 50 * time.Millisecond,
				},
			},
		})
		n.perform(control.LogCommitResumed{
			Took:        2 * time.Second,
			CommitIndex: 9,
		})
		Eventually(lines).Should(gbytes.Say(`"waited":1000,"commit-index":7,"last-index":9,"synced-index":8,` +
			`"voters":\["b:1 match 7 contact-age 50ms"\].*"The leader commits nothing."`))
		Eventually(lines).Should(gbytes.Say(`"took":2000,"commit-index":9.*"The leader commits again."`))
	})
})
