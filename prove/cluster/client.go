package cluster

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/shape"
	"github.com/plantainladder/plantainladder/standin/minion"
	"github.com/plantainladder/plantainladder/standin/record"
	standworker "github.com/plantainladder/plantainladder/standin/worker"
)

// CallerToken is the token of the callers of every organisation of Contract.
const CallerToken = "caller-secret"

// TokenDigest returns the SHA-256 digest of a token in hexadecimal, as contracts
// hold it.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

const pollInterval = 20 * time.Millisecond

// Eventually calls f every 20 ms until it returns nil or limit has passed, and
// returns the last error of f.
func Eventually(limit time.Duration, f func() error) error {
	deadline := time.Now().Add(limit)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		<-ticker.C
	}
}

// RunCLI runs the ladder command against all gateways and returns its output.
func (c *Cluster) RunCLI(args ...string) (string, error) {
	return c.RunCLIAt(c.Gateways(), args...)
}

// RunCLIAt runs the ladder command as the operator against the given gateways,
// separated by commas, and returns its output. A non-zero exit code is an error.
func (c *Cluster) RunCLIAt(gateways string, args ...string) (string, error) {
	fullArgs := append([]string{
		"--gateways", gateways,
		"--operator-token", OperatorToken,
	}, args...)
	cmd := exec.Command(filepath.Join(c.binaryDir, "ladder"), fullArgs...)
	cmd.Env = []string{}
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// A Response is a complete HTTP response.
type Response struct {
	// Status, Header and Body are those of the response.
	Status int
	Header http.Header
	Body   []byte
}

// Outcome returns the response's outcome header.
func (r Response) Outcome() string {
	return r.Header.Get(api.HeaderOutcome)
}

// Reason returns the response's reason header.
func (r Response) Reason() string {
	return r.Header.Get(api.HeaderReason)
}

// client opens a new connection for each call, as callers behind a load balancer do.
var client = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// Do sends an HTTP request to the proxied address of a process.
func (c *Cluster) Do(ctx context.Context, method, name, path string, body []byte, header map[string]string) (r Response, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address(name)+path, bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return r, err
	}
	defer func() { _ = resp.Body.Close() }()
	r = Response{
		Status: resp.StatusCode,
		Header: resp.Header,
	}
	r.Body, err = io.ReadAll(resp.Body)
	return r, err
}

// IsReady reports whether the readiness check of a process succeeds within one second.
func (c *Cluster) IsReady(name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := c.Do(ctx, http.MethodGet, name, "/readyz", nil, nil)
	return err == nil && r.Status == http.StatusOK
}

// CheckHealth returns an error if a process does not answer its health check
// within one second.
func (c *Cluster) CheckHealth(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.Do(ctx, http.MethodGet, name, "/healthz", nil, nil)
	return err
}

// CallAsOperator sends a call with the operator's token to a gateway and decodes
// the body of a response with status 200 into A.
func CallAsOperator[A any](ctx context.Context, c *Cluster, method, name, path string, body any, header map[string]string) (a A, r Response, err error) {
	b, err := json.Marshal(body)
	if err != nil {
		return a, r, err
	}
	allHeaders := map[string]string{
		"Authorization": "Bearer " + OperatorToken,
	}
	for k, v := range header {
		allHeaders[k] = v
	}
	r, err = c.Do(ctx, method, name, path, b, allHeaders)
	if err != nil || r.Status != http.StatusOK {
		return a, r, err
	}
	err = json.Unmarshal(r.Body, &a)
	return a, r, err
}

// Contract returns a contract that guarantees a number of workers with the given
// accelerators each, and a number of slots.
func Contract(organisation string, workers, accelerators, slots, ceilingSlots int) contract.Contract {
	c := contract.Contract{
		Organisation:        organisation,
		CeilingAccelerators: 10_000,
		GuaranteedSlots:     slots,
		CeilingSlots:        ceilingSlots,
		MaxQueuedJobs:       10_000,
		ClaimWindowS:        3600,
		Classes:             contract.Classes(),
		TokenSHA256:         TokenDigest(CallerToken),
	}
	if workers > 0 {
		c.Guarantee = []contract.Block{
			{
				Count: workers,
				Shape: shape.Shape{
					Tasks:         1,
					AdjacencyName: "worker",
					PerTask: shape.Resources{
						Accelerators: accelerators,
					},
				},
			},
		}
	}
	return c
}

// PutContract puts a contract with the ladder command, which waits until it is in
// force at every gateway.
func (c *Cluster) PutContract(k contract.Contract) error {
	path := filepath.Join(c.cfg.Folder, k.Organisation+".contract.json")
	b, err := json.Marshal(k)
	if err != nil {
		return err
	}
	if err := writeFile(path, b); err != nil {
		return err
	}
	out, err := c.RunCLI("contracts", "put", path)
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// A Call is a caller's request to a minion.
type Call struct {
	// Organisation, Class and Key (the idempotency key) are sent as headers.
	Organisation, Class, Key string
	// Deadline is how long the caller waits for the answer.
	Deadline time.Duration
	// Once marks a request that is not idempotent, so it may run at most once.
	Once bool
	// Work tells the stand-in minion what to do; it is the body.
	Work minion.Work
}

// Request sends a caller's request to a gateway. It waits one second longer than
// the call's deadline.
func (c *Cluster) Request(ctx context.Context, gateway string, call Call) (Response, error) {
	body, err := json.Marshal(call.Work)
	if err != nil {
		return Response{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+time.Second)
	defer cancel()
	return c.Do(ctx, http.MethodPost, gateway, "/v1/requests", body, map[string]string{
		"Authorization":          "Bearer " + CallerToken,
		api.HeaderOrganisation:   call.Organisation,
		api.HeaderClass:          call.Class,
		api.HeaderDeadline:       strconv.FormatInt(call.Deadline.Milliseconds(), 10),
		api.HeaderIdempotent:     strconv.FormatBool(!call.Once),
		api.HeaderIdempotencyKey: call.Key,
	})
}

// Job returns a job whose tasks run for a time on stand-in workers.
func Job(id, organisation, class string, tasks, accelerators int, run time.Duration) job.Spec {
	command, _ := json.Marshal(standworker.Command{
		RunMS:        run.Milliseconds(),
		CheckpointMS: 100,
	})
	return job.Spec{
		ID:           id,
		Organisation: organisation,
		Class:        class,
		Shape: shape.Shape{
			Tasks:         tasks,
			AdjacencyName: "data-centre",
			PerTask: shape.Resources{
				Accelerators: accelerators,
				Cores:        1,
				MemoryMB:     1,
			},
		},
		DeclaredRunMS: run.Milliseconds(),
		Command:       string(command),
	}
}

// Submit submits a job to a gateway as a caller.
func (c *Cluster) Submit(ctx context.Context, gateway string, s job.Spec) (Response, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return Response{}, err
	}
	return c.Do(ctx, http.MethodPost, gateway, "/v1/jobs", body, map[string]string{
		"Authorization": "Bearer " + CallerToken,
	})
}

// GetJob returns an operator's view of a job from a gateway.
func (c *Cluster) GetJob(ctx context.Context, gateway, id string) (api.Job, error) {
	j, r, err := CallAsOperator[api.Job](ctx, c, http.MethodGet, gateway, "/v1/operator/jobs/"+id, nil, nil)
	if err == nil && r.Status != http.StatusOK {
		err = fmt.Errorf("job %s: status %d: %s", id, r.Status, r.Body)
	}
	return j, err
}

// Members returns the members of the group as the leader reports them to a gateway.
func (c *Cluster) Members(ctx context.Context, gateway string) (api.Members, error) {
	m, r, err := CallAsOperator[api.Members](ctx, c, http.MethodGet, gateway, "/v1/members", nil, nil)
	if err == nil && r.Status != http.StatusOK {
		err = fmt.Errorf("members: status %d: %s", r.Status, r.Body)
	}
	return m, err
}

// Leader returns the name of the leading controller, as a gateway knows it.
func (c *Cluster) Leader(ctx context.Context, gateway string) (string, error) {
	m, err := c.Members(ctx, gateway)
	if err != nil {
		return "", err
	}
	for _, k := range m.Members {
		if !k.Leader {
			continue
		}
		for _, name := range c.startOrder {
			if c.Address(name) == k.Address {
				return name, nil
			}
		}
	}
	return "", fmt.Errorf("no leader among %d members", len(m.Members))
}

// RunCounts returns how often each work identifier ran at the stand-in minions.
func (c *Cluster) RunCounts() (map[string]int, error) {
	lines, err := record.Read(c.RecordPath("minions"))
	runs := map[string]int{}
	for _, l := range lines {
		if l.Words[0] == minion.LineRun {
			runs[l.Words[1]]++
		}
	}
	return runs, err
}

// CapacityViolations returns the records of stand-in minions that were given more
// requests or connections than they announced, and how many requests ran.
func (c *Cluster) CapacityViolations() (violations []record.Line, runCount int, err error) {
	lines, err := record.Read(c.RecordPath("minions"))
	for _, l := range lines {
		switch l.Words[0] {
		case minion.LineOverSlots, minion.LineOverConnections:
			violations = append(violations, l)
		case minion.LineRun:
			runCount++
		}
	}
	return violations, runCount, err
}

// StartCounts returns how often each task of each job was started at the stand-in
// workers, keyed by "job/task".
func (c *Cluster) StartCounts() (map[string]int, error) {
	lines, err := record.Read(c.RecordPath("workers"))
	starts := map[string]int{}
	for _, l := range lines {
		if l.Words[0] == "start" {
			starts[strings.Join([]string{l.Words[1], l.Words[3]}, "/")]++
		}
	}
	return starts, err
}
