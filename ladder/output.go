package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/contract"
)

const tabPadding = 2

func (t *tool) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format+"\n", args...)
}

// print writes v as JSON, or calls text to write it as text, as --output asks.
func (t *tool) print(v any, text func()) error {
	if t.output != "json" {
		text()
		return nil
	}
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable writes rows in columns under a heading.
func (t *tool) printTable(heading string, rows func(row func(format string, args ...any))) {
	w := tabwriter.NewWriter(t.out, 0, 0, tabPadding, ' ', 0)
	_, _ = fmt.Fprintln(w, heading)
	rows(func(format string, args ...any) {
		_, _ = fmt.Fprintf(w, format+"\n", args...)
	})
	_ = w.Flush()
}

func (t *tool) listContracts(ctx context.Context, _ []string) error {
	list, err := get[api.Contracts](ctx, t, "/v1/contracts")
	if err != nil {
		return err
	}
	return t.print(list, func() {
		t.printTable("ORGANISATION\tREVISION\tACCELERATORS\tCEILING\tSLOTS\tCEILING", func(row func(string, ...any)) {
			for _, c := range list.Contracts {
				row("%s\t%d\t%d\t%d\t%d\t%d", c.Organisation, c.Revision, c.GuaranteedTotal().Accelerators,
					c.CeilingAccelerators, c.GuaranteedSlots, c.CeilingSlots)
			}
		})
	})
}

func (t *tool) getContract(ctx context.Context, args []string) error {
	c, err := get[contract.Contract](ctx, t, "/v1/contracts/"+url.PathEscape(args[0]))
	if err != nil {
		return err
	}
	// The text output is a file that "contracts put" accepts.
	t.output = "json"
	return t.print(c, nil)
}

func (t *tool) listDataCentres(ctx context.Context, _ []string) error {
	list, err := get[api.DataCentres](ctx, t, "/v1/data-centres")
	if err != nil {
		return err
	}
	return t.print(list, func() {
		t.printTable("DATA CENTRE\tREVISION\tSERVICE", func(row func(string, ...any)) {
			for _, d := range list.DataCentres {
				service := "in"
				if d.OutOfService {
					service = "out"
				}
				row("%s\t%d\t%s", d.Name, d.Revision, service)
			}
		})
	})
}

func (t *tool) listJobs(ctx context.Context, _ []string) error {
	list, err := get[api.Jobs](ctx, t, "/v1/operator/jobs")
	if err != nil {
		return err
	}
	return t.print(list, func() {
		t.printTable("JOB\tORGANISATION\tCLASS\tTASKS\tACCELERATORS\tPHASE\tRESULT\tWAITING", func(row func(string, ...any)) {
			for _, j := range list.Jobs {
				row("%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s", j.ID, j.Organisation, j.Class, j.Shape.Tasks,
					j.Shape.Total().Accelerators, j.Phase, j.Result, j.Waiting)
			}
		})
	})
}

func (t *tool) getJob(ctx context.Context, id string) (api.Job, error) {
	return get[api.Job](ctx, t, "/v1/operator/jobs/"+url.PathEscape(id))
}

func (t *tool) showJob(ctx context.Context, args []string) error {
	j, err := t.getJob(ctx, args[0])
	if err != nil {
		return err
	}
	return t.print(j, func() {
		t.printLine("Job %s of %s, class %s: %s %s", j.ID, j.Organisation, j.Class, j.Phase, j.Result)
		t.printLine("  %d tasks of %d accelerators, adjacency %q, attempt %d", j.Shape.Tasks,
			j.Shape.PerTask.Accelerators, j.Shape.AdjacencyName, j.Attempt)
		for i, w := range j.Workers {
			t.printLine("  task %d on %s", i, w)
		}
	})
}

func (t *tool) explainJob(ctx context.Context, args []string) error {
	j, err := t.getJob(ctx, args[0])
	if err != nil {
		return err
	}
	return t.print(j, func() {
		for _, d := range j.History {
			t.printLine("%s  %s", d.At.Format(time.RFC3339Nano), d.Text)
		}
		if j.Waiting != "" {
			t.printLine("now: %s, %s", j.Phase, j.Waiting)
		}
	})
}

func (t *tool) listWorkers(ctx context.Context, _ []string) error {
	list, err := get[api.Workers](ctx, t, "/v1/workers")
	if err != nil {
		return err
	}
	return t.print(list, func() {
		t.printTable("WORKER\tDATA CENTRE\tRACK\tUSED\tACCELERATORS\tALIVE\tQUARANTINED", func(row func(string, ...any)) {
			for _, w := range list.Workers {
				row("%s\t%s\t%s\t%d\t%d\t%t\t%t", w.Name, w.DataCentre, w.Rack, w.Used.Accelerators,
					w.Capacity.Accelerators, w.Alive, w.Quarantined)
			}
		})
	})
}

func (t *tool) listMinions(ctx context.Context, _ []string) error {
	list, err := get[api.Minions](ctx, t, "/v1/minions")
	if err != nil {
		return err
	}
	return t.print(list, func() {
		t.printTable("MINION\tDATA CENTRE\tADDRESS\tSLOTS\tLEAVING\tAGE", func(row func(string, ...any)) {
			for _, m := range list.Minions {
				row("%s\t%s\t%s\t%d\t%t\t%d ms", m.Name, m.DataCentre, m.Address, m.Slots, m.Leaving, m.AgeMS)
			}
		})
	})
}

func (t *tool) listMembers(ctx context.Context, _ []string) error {
	m, err := get[api.Members](ctx, t, "/v1/members")
	if err != nil {
		return err
	}
	return t.printMembers(m)
}

func (t *tool) printMembers(m api.Members) error {
	return t.print(m, func() {
		t.printTable("MEMBER\tADDRESS\tVOTER\tLEADER\tALIVE\tHOLDS", func(row func(string, ...any)) {
			for _, member := range m.Members {
				row("%s\t%s\t%t\t%t\t%t\t%d of %d", member.ID, member.Address, member.Voter, member.Leader, member.Alive, member.Match, m.Commit)
			}
		})
		t.printLine("Can lose %d more.", m.ToleratedFailures)
	})
}

func (t *tool) listClaims(ctx context.Context, _ []string) error {
	list, err := get[api.Claims](ctx, t, "/v1/claims")
	if err != nil {
		return err
	}
	return t.print(list, func() {
		t.printTable("ORGANISATION\tKEY\tSTATE\tGATEWAY\tDEADLINE", func(row func(string, ...any)) {
			for _, c := range list.Claims {
				row("%s\t%s\t%s\t%s\t%s", c.Organisation, c.ID, c.State, c.Holder, c.Deadline.Format(time.RFC3339))
			}
		})
	})
}

func (t *tool) showStatus(ctx context.Context, _ []string) error {
	s, err := get[api.Status](ctx, t, "/v1/status")
	if err != nil {
		return err
	}
	return t.print(s, func() {
		t.printLine("Leader %s, version %d.", s.Leader, s.Index)
		t.printLine("%d contracts, %d workers, %d minions, %d jobs not ended, %d unknown outcomes.",
			s.Contracts, s.Workers, s.Minions, s.ActiveJobs, s.UnknownClaims)
		t.printTable("GATEWAY\tVERSION\tLEASE", func(row func(string, ...any)) {
			for _, g := range s.Gateways {
				row("%s\t%d\t%d ms", g.Name, g.Index, g.LeaseMS)
			}
		})
	})
}

func (t *tool) showFragmentation(ctx context.Context, _ []string) error {
	s, err := get[api.Status](ctx, t, "/v1/status")
	if err != nil {
		return err
	}
	return t.print(s.Fragmentation, func() {
		t.printTable("DATA CENTRE\tFREE\tLARGEST GANG\tFRAGMENTATION", func(row func(string, ...any)) {
			for _, f := range s.Fragmentation {
				row("%s\t%d\t%d\t%.2f", f.DataCentre, f.FreeAccelerators, f.LargestGang, f.Ratio)
			}
		})
	})
}
