package requests_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/prove/cluster"
)

// refusal is an invalid call and the expected response.
type refusal struct {
	name, method, path, body string
	header                   map[string]string
	status                   int
	reason, field            string
}

func caller(organisation string, headers ...string) map[string]string {
	h := map[string]string{
		"Authorization":        "Bearer " + cluster.CallerToken,
		api.HeaderOrganisation: organisation,
	}
	for i := 0; i+1 < len(headers); i += 2 {
		h[headers[i]] = headers[i+1]
	}
	return h
}

func refusals() []refusal {
	large := strings.Repeat("x", 1<<20+1)
	job := `{"id":"j","organisation":"mine","class":"normal","shape":{"tasks":1,"each":{"cores":1}}`
	return []refusal{
		{
			name:   "a wrong token",
			path:   "/v1/requests",
			header: caller("theirs"),
			status: http.StatusUnauthorized,
			reason: "wrong-token",
		},
		{
			name:   "an unknown organisation",
			path:   "/v1/requests",
			header: caller("nobody"),
			status: http.StatusNotFound,
			reason: "unknown-organisation",
		},
		{
			name:   "a bad class",
			path:   "/v1/requests",
			header: caller("mine", api.HeaderClass, "fast"),
			status: http.StatusBadRequest,
			reason: "bad-field",
			field:  api.HeaderClass,
		},
		{
			name:   "a bad deadline",
			path:   "/v1/requests",
			header: caller("mine", api.HeaderDeadline, "-1"),
			status: http.StatusBadRequest,
			reason: "bad-field",
			field:  api.HeaderDeadline,
		},
		{
			name:   "no key where one is needed",
			path:   "/v1/requests",
			header: caller("mine", api.HeaderIdempotent, "false"),
			status: http.StatusBadRequest,
			reason: "bad-field",
			field:  api.HeaderIdempotencyKey,
		},
		{
			name:   "a body that is too large",
			path:   "/v1/requests",
			body:   large,
			header: caller("mine"),
			status: http.StatusRequestEntityTooLarge,
			reason: "body-too-large",
		},
		{
			name:   "a job with an unknown field",
			path:   "/v1/jobs",
			body:   job + `,"colour":"red"}`,
			header: caller("mine"),
			status: http.StatusBadRequest,
			reason: "bad-field",
			field:  "body",
		},
		{
			name:   "a job with an impossible shape",
			path:   "/v1/jobs",
			body:   strings.Replace(job, `"tasks":1`, `"tasks":0`, 1) + `}`,
			header: caller("mine"),
			status: http.StatusBadRequest,
			reason: "bad-field",
			field:  "tasks",
		},
		{
			name:   "a job of another organisation",
			path:   "/v1/jobs",
			body:   strings.Replace(job, "mine", "theirs", 1) + `}`,
			header: caller("mine"),
			status: http.StatusUnauthorized,
			reason: "wrong-token",
		},
		{
			name:   "another organisation's job being cancelled",
			method: http.MethodDelete,
			path:   "/v1/jobs/other-job",
			header: caller("mine"),
			status: http.StatusForbidden,
			reason: "not-your-own",
			field:  "organisation",
		},
		{
			name:   "an operator's call with a caller's token",
			method: http.MethodGet,
			path:   "/v1/status",
			header: caller("mine"),
			status: http.StatusUnauthorized,
			reason: "wrong-token",
		},
		{
			name:   "a minion with no slots",
			method: http.MethodPut,
			path:   "/v1/minions/m9",
			body:   `{"name":"m9","address":":1","data-centre":"a","slots":0,"connections":1}`,
			header: map[string]string{
				"Authorization": "Bearer " + cluster.MinionToken,
			},
			status: http.StatusBadRequest,
			reason: "bad-field",
			field:  "slots",
		},
	}
}

var _ = Describe("Invalid input", func() {
	It("is refused with an error that names the field, and changes nothing", func() {
		c := startCluster(clusterSpec{
			gateways: 1,
			minions:  []string{"a"},
		})
		Expect(c.PutContract(cluster.Contract("mine", 0, 0, 1, 4))).To(Succeed())
		theirs := cluster.Contract("theirs", 0, 0, 1, 4)
		theirs.TokenSHA256 = cluster.TokenDigest("another")
		Expect(c.PutContract(theirs)).To(Succeed())
		other := cluster.Job("other-job", "theirs", "normal", 1, 1, 0)
		body, err := json.Marshal(other)
		Expect(err).NotTo(HaveOccurred())
		r, err := c.Do(context.Background(), http.MethodPost, "g1", "/v1/jobs", body, map[string]string{
			"Authorization": "Bearer another",
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Status).To(Equal(http.StatusAccepted))
		for _, bad := range refusals() {
			method := bad.method
			if method == "" {
				method = http.MethodPost
			}
			r, err := c.Do(context.Background(), method, "g1", bad.path, []byte(bad.body), bad.header)
			Expect(err).NotTo(HaveOccurred(), bad.name)
			var e api.Error
			Expect(json.Unmarshal(r.Body, &e)).To(Succeed(), bad.name)
			Expect(r.Status).To(Equal(bad.status), "%s: %s", bad.name, r.Body)
			Expect(e.Outcome).To(Equal(api.OutcomeNotRun), bad.name)
			Expect(e.Reason).To(Equal(bad.reason), bad.name)
			Expect(e.Field).To(Equal(bad.field), bad.name)
		}
		runs, err := c.RunCounts()
		Expect(err).NotTo(HaveOccurred())
		Expect(runs).To(BeEmpty())
	})

	It("in settings is refused with exit code 2 and all errors, before any file is written", func() {
		binaries, err := cluster.Build()
		Expect(err).NotTo(HaveOccurred())
		folder := filepath.Join(GinkgoT().TempDir(), "data")
		cmd := exec.Command(filepath.Join(binaries, "controller"),
			"--data-dir", folder, "--listen", "nowhere", "--snapshot-every", "1")
		cmd.Env = []string{"CONTROLLER_CLUSTER_TOKN=x"}
		var out bytes.Buffer
		cmd.Stderr = &out
		Expect(cmd.Run()).To(HaveOccurred())
		Expect(cmd.ProcessState.ExitCode()).To(Equal(2))
		for _, text := range []string{"CONTROLLER_CLUSTER_TOKN", "cluster-token", "worker-token", "snapshot-every", "listen"} {
			Expect(out.String()).To(ContainSubstring(text))
		}
		Expect(folder).NotTo(BeADirectory())
	})

	It("on the command line gives different exit codes for wrong usage, refusals and no answer", func() {
		c := startCluster(clusterSpec{
			gateways: 1,
		})
		for words, code := range map[string]int{
			"status":                    0,
			"contracts get":             2,
			"contracts get nobody":      3,
			"jobs show nothing":         3,
			"contracts drop nobody 0":   3,
			"--output xml status":       2,
			"claims settle nobody k no": 3,
		} {
			_, err := c.RunCLI(strings.Fields(words)...)
			Expect(exitCode(err)).To(Equal(code), words)
		}
		_, err := c.RunCLIAt("127.0.0.1:1", "status")
		Expect(exitCode(err)).To(Equal(4))
	})
})

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return -1
	}
	return exit.ExitCode()
}
