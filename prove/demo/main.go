// Command demo runs the system on loopback and shows its main functions. With
// three controllers, three gateways and stand-in minions and workers it edits a
// contract, sends an urgent request, runs a gang job, and takes a data centre out
// of service and brings it back.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/standin/minion"
)

const (
	controllers          = 3
	gateways             = 3
	workersPerDataCentre = 4
	stepLimit            = 20 * time.Second
	gangTasks            = 4
	gangRun              = 2 * time.Second
	urgentDeadline       = 2 * time.Second
)

func main() {
	if err := run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run() error {
	folder, err := os.MkdirTemp("", "plantainladder-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	defer cluster.RemoveBuild()
	printf("Building the programs.")
	c, err := cluster.New(cluster.Config{
		Folder:      folder,
		Controllers: controllers,
		Gateways:    gateways,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	d := demo{
		cluster: c,
		ctx:     context.Background(),
	}
	for _, step := range []func() error{
		d.startAll, d.putContract, d.requestUrgent, d.runGang, d.drainDataCentre, d.printStatus,
	} {
		if err := step(); err != nil {
			return fmt.Errorf("%w\n%s", err, c.Logs())
		}
	}
	printf("Done.")
	return nil
}

func printf(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
}

type demo struct {
	cluster *cluster.Cluster
	ctx     context.Context
}

func (d demo) startAll() error {
	began := time.Now()
	if err := d.cluster.Start(); err != nil {
		return err
	}
	printf("Formed a group of %d controllers behind %d gateways in %s.", controllers, gateways, elapsedSince(began))
	for i, dataCentre := range []string{"kigali-1", "kigali-2"} {
		if err := d.cluster.StartMinion(fmt.Sprintf("m%d", i+1), dataCentre); err != nil {
			return err
		}
		if err := d.cluster.StartWorkers(fmt.Sprintf("w%d", i+1), dataCentre, workersPerDataCentre); err != nil {
			return err
		}
	}
	return cluster.Eventually(stepLimit, func() error {
		s, err := d.getStatus()
		if err == nil && (s.Workers < 2*workersPerDataCentre || s.Minions < 2) {
			err = fmt.Errorf("%d workers and %d minions are registered", s.Workers, s.Minions)
		}
		return err
	})
}

func (d demo) getStatus() (api.Status, error) {
	s, _, err := cluster.CallAsOperator[api.Status](d.ctx, d.cluster, http.MethodGet, "g1", "/v1/status", nil, nil)
	return s, err
}

func elapsedSince(t time.Time) time.Duration {
	return time.Since(t).Round(time.Millisecond)
}

func (d demo) putContract() error {
	began := time.Now()
	if err := d.cluster.PutContract(cluster.Contract("imanzi", 2, 8, 4, 16)); err != nil {
		return err
	}
	printf("The contract of imanzi is in force at every gateway after %s.", elapsedSince(began))
	return nil
}

func (d demo) requestUrgent() error {
	began := time.Now()
	r, err := d.cluster.Request(d.ctx, "g2", cluster.Call{
		Organisation: "imanzi",
		Class:        "urgent",
		Deadline:     urgentDeadline,
		Work: minion.Work{
			ID:    "fit-check",
			RunMS: 50,
		},
	})
	if err != nil {
		return err
	}
	if r.Outcome() != api.OutcomeDone {
		return fmt.Errorf("urgent request: %s: %s", r.Outcome(), r.Body)
	}
	printf("Urgent request answered after %s: %s", elapsedSince(began), r.Body[:len(r.Body)-1])
	return nil
}

func (d demo) runGang() error {
	began := time.Now()
	r, err := d.cluster.Submit(d.ctx, "g3", cluster.Job("cavity", "imanzi", "normal", gangTasks, 4, gangRun))
	if err != nil {
		return err
	}
	if r.Status != http.StatusAccepted {
		return fmt.Errorf("job: %s", r.Body)
	}
	if err = d.waitJob("cavity"); err != nil {
		return err
	}
	printf("Gang job of %d tasks of 4 accelerators ended after %s:", gangTasks, elapsedSince(began))
	return d.printHistory("cavity")
}

func (d demo) waitJob(id string) error {
	return cluster.Eventually(stepLimit, func() error {
		j, err := d.cluster.GetJob(d.ctx, "g1", id)
		if err == nil && j.Result != "done" {
			err = fmt.Errorf("job %s is %s %s", id, j.Phase, j.Result)
		}
		return err
	})
}

func (d demo) printHistory(id string) error {
	j, err := d.cluster.GetJob(d.ctx, "g1", id)
	for _, line := range j.History {
		printf("  %s  %s", line.At.Format("15:04:05.000"), line.Text)
	}
	return err
}

func (d demo) drainDataCentre() error {
	checkpointable := cluster.Job("batch", "imanzi", "batch", 1, 8, 4*time.Second)
	checkpointable.Checkpointable = true
	if r, err := d.cluster.Submit(d.ctx, "g1", checkpointable); err != nil || r.Status != http.StatusAccepted {
		return fmt.Errorf("job: %w: %s", err, r.Body)
	}
	var dataCentre string
	err := cluster.Eventually(stepLimit, func() error {
		j, err := d.cluster.GetJob(d.ctx, "g1", "batch")
		if err == nil && j.Phase != "running" {
			err = fmt.Errorf("job batch is %s", j.Phase)
		}
		if err == nil {
			dataCentre = "kigali-" + j.Workers[0][1:2]
		}
		return err
	})
	if err != nil {
		return err
	}
	began := time.Now()
	if out, err := d.cluster.RunCLI("data-centres", "out", dataCentre); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	printf("Data centre %s is out of service at every gateway after %s.", dataCentre, elapsedSince(began))
	if err = d.waitJob("batch"); err != nil {
		return err
	}
	printf("The checkpointable job that ran there continued in the other data centre:")
	if err = d.printHistory("batch"); err != nil {
		return err
	}
	if out, err := d.cluster.RunCLI("data-centres", "in", dataCentre); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	printf("Data centre %s is back in service.", dataCentre)
	return nil
}

func (d demo) printStatus() error {
	out, err := d.cluster.RunCLI("status")
	printf("\n$ ladder status\n%s", out)
	return err
}
