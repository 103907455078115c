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

// command is one entry of the command table.
type command struct {
	words string
	args  int
	run   func(t *tool, ctx context.Context, args []string) error
}

// moreArgs marks a command that takes one argument or more.
const moreArgs = -1

func commands() []command {
	return []command{
		entry("contracts list", 0, (*tool).listContracts),
		entry("contracts get", 1, (*tool).getContract),
		entry("contracts put", 1, (*tool).putContract),
		entry("contracts drop", 2, (*tool).dropContract),
		entry("data-centres list", 0, (*tool).listDataCentres),
		entry("data-centres out", 1, (*tool).takeOut),
		entry("data-centres in", 1, (*tool).bringIn),
		entry("jobs submit", 1, (*tool).submitJob),
		entry("jobs list", 0, (*tool).listJobs),
		entry("jobs show", 1, (*tool).showJob),
		entry("jobs why", 1, (*tool).explainJob),
		entry("jobs cancel", 1, (*tool).cancelJob),
		entry("jobs release", 1, (*tool).releaseJob),
		entry("workers list", 0, (*tool).listWorkers),
		entry("workers remove", 1, (*tool).removeWorker),
		entry("minions list", 0, (*tool).listMinions),
		entry("members list", 0, (*tool).listMembers),
		entry("members form", moreArgs, (*tool).formMembers),
		entry("members add", 1, (*tool).addMember),
		entry("members replace", 2, (*tool).replaceMember),
		entry("members remove", 1, (*tool).removeMember),
		entry("claims list", 0, (*tool).listClaims),
		entry("claims settle", 3, (*tool).settleClaim),
		entry("status", 0, (*tool).showStatus),
		entry("fragmentation", 0, (*tool).showFragmentation),
		entry("wait", 1, (*tool).waitFor),
	}
}

func entry(words string, args int, run func(t *tool, ctx context.Context, args []string) error) command {
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
		if len(args) == c.args || c.args == moreArgs && len(args) > 0 {
			return c.run(t, ctx, args)
		}
	}
	return &UsageError{
		Command: strings.Join(words, " "),
	}
}

// get asks a question.
func get[A any](ctx context.Context, t *tool, path string) (A, error) {
	return gateway.Do[struct{}, A](ctx, t.client, gateway.Request[struct{}]{
		Method: http.MethodGet,
		Path:   path,
	})
}

// send makes an edit.
func send[Q, A any](ctx context.Context, t *tool, method, path string, body Q) (A, error) {
	return gateway.Do[Q, A](ctx, t.client, gateway.Request[Q]{
		Method:  method,
		Path:    path,
		Body:    body,
		HasBody: true,
	})
}

// remove makes an edit without a body.
func remove[A any](ctx context.Context, t *tool, path string) (A, error) {
	return gateway.Do[struct{}, A](ctx, t.client, gateway.Request[struct{}]{
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
	a, err := send[contract.Contract, api.Accepted](ctx, t, http.MethodPut, "/v1/contracts/"+url.PathEscape(c.Organisation), c)
	if err != nil {
		return err
	}
	return t.settled(ctx, a)
}

func (t *tool) dropContract(ctx context.Context, args []string) error {
	path := "/v1/contracts/" + url.PathEscape(args[0]) + "?revision=" + url.QueryEscape(args[1])
	a, err := remove[api.Accepted](ctx, t, path)
	if err != nil {
		return err
	}
	return t.settled(ctx, a)
}

func (t *tool) takeOut(ctx context.Context, args []string) error {
	return t.setDataCentre(ctx, args[0], true)
}

func (t *tool) bringIn(ctx context.Context, args []string) error {
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
	a, err := send[api.SetDataCentre, api.Accepted](ctx, t, http.MethodPut, "/v1/data-centres/"+url.PathEscape(name), body)
	if err != nil {
		return err
	}
	return t.settled(ctx, a)
}

// A NotInForceError reports a version that did not come into force in time.
type NotInForceError struct {
	// Index is the version.
	Index uint64
	// Behind lists the gateways that may still act on an older one.
	Behind []string
}

// Error returns the version and the gateways.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is not in force at %s", e.Index, strings.Join(e.Behind, ", "))
}

// settled prints an accepted edit, once it is in force everywhere.
func (t *tool) settled(ctx context.Context, a api.Accepted) error {
	if t.wait {
		if err := t.inForce(ctx, a.Index); err != nil {
			return err
		}
	}
	return t.print(a, func() {
		state := "accepted"
		if t.wait {
			state = "in force everywhere"
		}
		t.line("Revision %d, version %d: %s.", a.Revision, a.Index, state)
	})
}

func (t *tool) inForce(ctx context.Context, index uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	every := time.NewTicker(inForceEvery)
	defer every.Stop()
	behind := []string{"any gateway"}
	for {
		f, err := get[api.InForce](ctx, t, "/v1/in-force/"+strconv.FormatUint(index, 10))
		if err == nil && f.InForce {
			return nil
		}
		if err == nil {
			behind = f.Behind
		}
		select {
		case <-ctx.Done():
			return &NotInForceError{
				Index:  index,
				Behind: behind,
			}
		case <-every.C:
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
	if err = t.inForce(ctx, index); err != nil {
		return err
	}
	t.line("Version %d is in force everywhere.", index)
	return nil
}

func (t *tool) submitJob(ctx context.Context, args []string) error {
	spec, err := readFile[job.Spec](args[0])
	if err != nil {
		return err
	}
	a, err := send[job.Spec, api.Accepted](ctx, t, http.MethodPost, "/v1/jobs", spec)
	if err != nil {
		return err
	}
	return t.print(a, func() { t.line("Job %s is accepted.", spec.ID) })
}

func (t *tool) cancelJob(ctx context.Context, args []string) error {
	a, err := remove[api.Accepted](ctx, t, "/v1/operator/jobs/"+url.PathEscape(args[0]))
	if err != nil {
		return err
	}
	return t.print(a, func() { t.line("Job %s is being cancelled.", args[0]) })
}

func (t *tool) releaseJob(ctx context.Context, args []string) error {
	a, err := send[struct{}, api.Accepted](ctx, t, http.MethodPost, "/v1/operator/jobs/"+url.PathEscape(args[0])+"/release", struct{}{})
	if err != nil {
		return err
	}
	return t.print(a, func() { t.line("Job %s is queued again.", args[0]) })
}

func (t *tool) removeWorker(ctx context.Context, args []string) error {
	a, err := remove[api.Accepted](ctx, t, "/v1/workers/"+url.PathEscape(args[0]))
	if err != nil {
		return err
	}
	return t.print(a, func() { t.line("Worker %s is forgotten.", args[0]) })
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

// join brings a controller in and waits until it votes and the one that it
// replaces has gone, so that the group can lose the next.
func (t *tool) join(ctx context.Context, body api.AddMember) error {
	if _, err := send[api.AddMember, api.Members](ctx, t, http.MethodPost, "/v1/members", body); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	every := time.NewTicker(inForceEvery)
	defer every.Stop()
	for {
		m, err := get[api.Members](ctx, t, "/v1/members")
		if err == nil && isJoined(m, body) {
			return t.printMembers(m)
		}
		select {
		case <-ctx.Done():
			return &NotInForceError{
				Behind: []string{body.Address},
			}
		case <-every.C:
		}
	}
}

func isJoined(m api.Members, body api.AddMember) bool {
	voter, old := false, false
	for _, k := range m.Members {
		voter = voter || k.Address == body.Address && k.Voter
		old = old || k.ID == body.Replaces
	}
	return voter && !old
}

func (t *tool) removeMember(ctx context.Context, args []string) error {
	m, err := remove[api.Members](ctx, t, "/v1/members/"+url.PathEscape(args[0]))
	if err != nil {
		return err
	}
	return t.printMembers(m)
}

func (t *tool) settleClaim(ctx context.Context, args []string) error {
	path := "/v1/claims/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1]) + "/settle"
	a, err := send[api.ResolveClaim, api.Accepted](ctx, t, http.MethodPost, path, api.ResolveClaim{
		Note: args[2],
	})
	if err != nil {
		return err
	}
	return t.print(a, func() { t.line("Claim %s of %s is settled.", args[1], args[0]) })
}
