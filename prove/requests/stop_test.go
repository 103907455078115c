package requests_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/prove/callers"
	"github.com/plantainladder/plantainladder/prove/cluster"
)

var _ = Describe("A gateway that stops", func() {
	// A stopping gateway once closed idle connections at the signal, with calls on their
	// way, and dropped calls that it read once its listener was closed.
	It("answers each call that was sent whole over an open connection", func() {
		c := startCluster(clusterSpec{
			gateways: 3,
			minions:  []string{"a", "b"},
		})
		Expect(c.PutContract(cluster.Contract("stop", 0, 0, 8, 32))).To(Succeed())
		for _, name := range cluster.Names("g", 3) {
			Eventually(func() bool { return c.IsReady(name) }).WithTimeout(settleLimit).Should(BeTrue())
			t, wait := callers.Start(c.DirectAddress(name), func(int, int) callers.Request {
				return callers.Request{
					Method: http.MethodPost,
					Host:   name,
					Path:   "/v1/requests",
					Body:   "{}",
					Header: map[string]string{
						"Authorization":        "Bearer " + cluster.CallerToken,
						api.HeaderOrganisation: "stop",
						api.HeaderClass:        "normal",
						api.HeaderDeadline:     strconv.FormatInt(time.Second.Milliseconds(), 10),
						api.HeaderIdempotent:   "true",
					},
				}
			})
			Eventually(t.Answered.Load).WithTimeout(settleLimit).Should(BeNumerically(">", 10*callers.Count))
			c.Process(name).Terminate()
			Eventually(c.Process(name).Done()).WithTimeout(settleLimit).Should(BeClosed())
			wait()
			GinkgoWriter.Println(name, t)
			Expect(t.Unanswered.Load()).To(BeZero(), t.String())
		}
	})
})
