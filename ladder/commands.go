package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/ladder/gateway"
	"github.com/plantainladder/plantainladder/util"
)

// command is a command of the command line: its words, the number of its
// arguments and the function that runs it.
type command struct {
	words string
	args  int
	run   func(t *tool, ctx context.Context, args []string) error
}

// oneOrMoreArgs is the number of arguments of a command that takes at least one.
const oneOrMoreArgs = -1

func commands() []command {
	return []command{
		newCommand("contracts list", 0, (*tool).listContracts),
		newCommand("contracts get", 1, (*tool).getContract),
		newCommand("contracts put", 1, (*tool).putContract),
		newCommand("contracts drop", 2, (*tool).dropContract),
		newCommand("data-centres list", 0, (*tool).listDataCentres),
		newCommand("data-centres out", 1, (*tool).takeOutOfService),
		newCommand("data-centres in", 1, (*tool).returnToService),
		newCommand("jobs submit", 1, (*tool).submitJob),
		newCommand("jobs list", 0, (*tool).listJobs),
		newCommand("jobs show", 1, (*tool).showJob),
		newCommand("jobs why", 1, (*tool).explainJob),
		newCommand("jobs cancel", 1, (*tool).cancelJob),
		newCommand("jobs release", 1, (*tool).releaseJob),
		newCommand("workers list", 0, (*tool).listWorkers),
		newCommand("workers remove", 1, (*tool).removeWorker),
		newCommand("minions list", 0, (*tool).listMinions),
		newCommand("members list", 0, (*tool).listMembers),
		newCommand("members form", oneOrMoreArgs, (*tool).formMembers),
		newCommand("members add", 1, (*tool).addMember),
		newCommand("members replace", 2, (*tool).replaceMember),
		newCommand("members remove", 1, (*tool).removeMember),
		newCommand("claims list", 0, (*tool).listClaims),
		newCommand("claims settle", 3, (*tool).resolveClaim),
		newCommand("status", 0, (*tool).showStatus),
		newCommand("fragmentation", 0, (*tool).showFragmentation),
		newCommand("wait", 1, (*tool).waitFor),
	}
}

func newCommand(words string, args int, run func(t *tool, ctx context.Context, args []string) error) command {
	return command{
		words: words,
		args:  args,
		run:   run,
	}
}

func (t *tool) dispatch(ctx context.Context, words []string) error {
	for _, c := range commands() {
		name := strings.Fields(c.words)
		if len(words) < len(name) || strings.Join(words[:len(name)], " ") != c.words {
			continue
		}
		args := words[len(name):]
		if len(args) == c.args || c.args == oneOrMoreArgs && len(args) > 0 {
			return c.run(t, ctx, args)
		}
	}
	return &UsageError{
		Command: strings.Join(words, " "),
	}
}

// get sends a GET request.
func get[Out any](ctx context.Context, t *tool, path string) (Out, error) {
	return gateway.Do[struct{}, Out](ctx, t.client, gateway.Request[struct{}]{
		Method: http.MethodGet,
		Path:   path,
	})
}

// send sends a request with a body.
func send[In, Out any](ctx context.Context, t *tool, method, path string, body In) (Out, error) {
	return gateway.Do[In, Out](ctx, t.client, gateway.Request[In]{
		Method:  method,
		Path:    path,
		Body:    body,
		HasBody: true,
	})
}

// remove sends a DELETE request.
func remove[Out any](ctx context.Context, t *tool, path string) (Out, error) {
	return gateway.Do[struct{}, Out](ctx, t.client, gateway.Request[struct{}]{
		Method: http.MethodDelete,
		Path:   path,
	})
}

func readFile[T any](path string) (v T, err error) {
	defer util.Annotate(&err, "read "+path)
	b, err := os.ReadFile(path)
	if err != nil {
		return v, err
	}
	err = json.Unmarshal(b, &v)
	return v, err
}

func (t *tool) putContract(ctx context.Context, args []string) error {
	c, err := readFile[contract.Contract](args[0])
	if err != nil {
		return err
	}
	accepted, err := send[contract.Contract, api.Accepted](ctx, t, http.MethodPut, "/v1/contracts/"+url.PathEscape(c.Organisation), c)
	if err != nil {
		return err
	}
	return t.reportAccepted(ctx, accepted)
}

func (t *tool) dropContract(ctx context.Context, args []string) error {
	path := "/v1/contracts/" + url.PathEscape(args[0]) + "?revision=" + url.QueryEscape(args[1])
	accepted, err := remove[api.Accepted](ctx, t, path)
	if err != nil {
		return err
	}
	return t.reportAccepted(ctx, accepted)
}

func (t *tool) takeOutOfService(ctx context.Context, args []string) error {
	return t.setDataCentre(ctx, args[0], true)
}

func (t *tool) returnToService(ctx context.Context, args []string) error {
	return t.setDataCentre(ctx, args[0], false)
}

func (t *tool) setDataCentre(ctx context.Context, name string, out bool) error {
	list, err := get[api.DataCentres](ctx, t, "/v1/data-centres")
	if err != nil {
		return err
	}
	body := api.SetDataCentre{
		OutOfService: out,
	}
	for _, d := range list.DataCentres {
		if d.Name == name {
			body.Revision = d.Revision
		}
	}
	accepted, err := send[api.SetDataCentre, api.Accepted](ctx, t, http.MethodPut, "/v1/data-centres/"+url.PathEscape(name), body)
	if err != nil {
		return err
	}
	return t.reportAccepted(ctx, accepted)
}

// A NotInForceError reports that a view did not come into force at all gateways in
// time, or that an added controller did not join the group in time.
type NotInForceError struct {
	// Index is the index of the view; zero for a controller.
	Index uint64
	// Behind lists the gateways that may still act on an older view, or the
	// address of the controller.
	Behind []string
}

// Error returns the index and the gateways, or the address of the controller.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is not in force at %s", e.Index, strings.Join(e.Behind, ", "))
}

// reportAccepted prints an accepted edit. With --wait, it first waits until the
// edit is in force everywhere.
func (t *tool) reportAccepted(ctx context.Context, accepted api.Accepted) error {
	if t.wait {
		if err := t.waitInForce(ctx, accepted.Index); err != nil {
			return err
		}
	}
	return t.print(accepted, func() {
		state := "accepted"
		if t.wait {
			state = "in force everywhere"
		}
		t.printLine("Revision %d, version %d: %s.", accepted.Revision, accepted.Index, state)
	})
}

func (t *tool) waitInForce(ctx context.Context, index uint64) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	behind := []string{"any gateway"}
	for {
		status, err := get[api.InForce](ctx, t, "/v1/in-force/"+strconv.FormatUint(index, 10))
		if err == nil && status.InForce {
			return nil
		}
		if err == nil {
			behind = status.Behind
		}
		select {
		case <-ctx.Done():
			return &NotInForceError{
				Index:  index,
				Behind: behind,
			}
		case <-ticker.C:
		}
	}
}

func (t *tool) waitFor(ctx context.Context, args []string) error {
	index, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return &UsageError{
			Command: "wait " + args[0],
		}
	}
	if err = t.waitInForce(ctx, index); err != nil {
		return err
	}
	t.printLine("Version %d is in force everywhere.", index)
	return nil
}

func (t *tool) submitJob(ctx context.Context, args []string) error {
	spec, err := readFile[job.Spec](args[0])
	if err != nil {
		return err
	}
	accepted, err := send[job.Spec, api.Accepted](ctx, t, http.MethodPost, "/v1/jobs", spec)
	if err != nil {
		return err
	}
	return t.print(accepted, func() { t.printLine("Job %s is accepted.", spec.ID) })
}

func (t *tool) cancelJob(ctx context.Context, args []string) error {
	accepted, err := remove[api.Accepted](ctx, t, "/v1/operator/jobs/"+url.PathEscape(args[0]))
	if err != nil {
		return err
	}
	return t.print(accepted, func() { t.printLine("Job %s is being cancelled.", args[0]) })
}

func (t *tool) releaseJob(ctx context.Context, args []string) error {
	accepted, err := send[struct{}, api.Accepted](ctx, t, http.MethodPost, "/v1/operator/jobs/"+url.PathEscape(args[0])+"/release", struct{}{})
	if err != nil {
		return err
	}
	return t.print(accepted, func() { t.printLine("Job %s is queued again.", args[0]) })
}

func (t *tool) removeWorker(ctx context.Context, args []string) error {
	accepted, err := remove[api.Accepted](ctx, t, "/v1/workers/"+url.PathEscape(args[0]))
	if err != nil {
		return err
	}
	return t.print(accepted, func() { t.printLine("Worker %s is forgotten.", args[0]) })
}

func (t *tool) formMembers(ctx context.Context, args []string) error {
	m, err := send[api.FormMembers, api.Members](ctx, t, http.MethodPost, "/v1/members/form", api.FormMembers{
		Addresses: args,
	})
	if err != nil {
		return err
	}
	return t.printMembers(m)
}

func (t *tool) addMember(ctx context.Context, args []string) error {
	return t.join(ctx, api.AddMember{
		Address: args[0],
	})
}

func (t *tool) replaceMember(ctx context.Context, args []string) error {
	return t.join(ctx, api.AddMember{
		Address:  args[1],
		Replaces: args[0],
	})
}

// join adds a controller to the group. It waits until the controller is a voter
// and the one that it replaces has left, so that the group tolerates the next
// failure.
func (t *tool) join(ctx context.Context, body api.AddMember) error {
	if _, err := send[api.AddMember, api.Members](ctx, t, http.MethodPost, "/v1/members", body); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		m, err := get[api.Members](ctx, t, "/v1/members")
		if err == nil && hasJoined(m, body) {
			return t.printMembers(m)
		}
		select {
		case <-ctx.Done():
			return &NotInForceError{
				Behind: []string{body.Address},
			}
		case <-ticker.C:
		}
	}
}

func hasJoined(m api.Members, body api.AddMember) bool {
	isVoter, isPresent := false, false
	for _, member := range m.Members {
		isVoter = isVoter || member.Address == body.Address && member.Voter
		isPresent = isPresent || member.ID == body.Replaces
	}
	return isVoter && !isPresent
}

func (t *tool) removeMember(ctx context.Context, args []string) error {
	m, err := remove[api.Members](ctx, t, "/v1/members/"+url.PathEscape(args[0]))
	if err != nil {
		return err
	}
	return t.printMembers(m)
}

func (t *tool) resolveClaim(ctx context.Context, args []string) error {
	path := "/v1/claims/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1]) + "/settle"
	accepted, err := send[api.ResolveClaim, api.Accepted](ctx, t, http.MethodPost, path, api.ResolveClaim{
		Note: args[2],
	})
	if err != nil {
		return err
	}
	return t.print(accepted, func() { t.printLine("Claim %s of %s is settled.", args[1], args[0]) })
}
