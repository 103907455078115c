package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/plantainladder/plantainladder/api"
	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/util"
)

// Sizes of the experiment; ticksPerSecond is the unit of processor time in /proc.
const (
	observationTime = 12 * time.Second
	jobsPerWorker   = 3
	ticksPerSecond  = 100
	capacityLimit   = 60 * time.Second
)

// processUsage is the resource usage of a process: processor time and control traffic in
// bytes since its start, and its present resident memory.
type processUsage struct {
	cpu          time.Duration
	rssMB        float64
	bytesWritten float64
	bytesRead    float64
}

// measureCapacity prints the resource usage of each role at several numbers of
// workers, first without and then with running tasks.
func measureCapacity() error {
	fmt.Println("workers tasks  role      cpu-%  rss-MB  out-KB/s  in-KB/s")
	for _, workers := range []int{60, 180, 540} {
		err := withCore(gateways, func(c *cluster.Cluster) error {
			return measureWorkerCount(c, workers)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func measureWorkerCount(c *cluster.Cluster, workers int) (err error) {
	for i := range 3 {
		if err = c.StartWorkers(fmt.Sprintf("w%d", i+1), fmt.Sprintf("dc%d", i), workers/3, "--per-rack", "8"); err != nil {
			return err
		}
	}
	if err = waitStatus(c, func(s api.Status) bool { return s.Workers == workers }); err != nil {
		return err
	}
	if err = c.PutContract(cluster.Contract("o", 0, 0, 0, 1)); err != nil {
		return err
	}
	if err = printUsage(c, workers, 0); err != nil {
		return err
	}
	tasks := workers * jobsPerWorker
	for i := range tasks {
		r, err := c.Submit(context.Background(), "g1", cluster.Job(fmt.Sprintf("j%d", i), "o", "normal", 1, 2, time.Hour))
		if err != nil || r.Status != http.StatusAccepted {
			return fmt.Errorf("submit: %w %s", err, r.Body)
		}
	}
	if err = waitRunning(c, tasks); err != nil {
		return err
	}
	return printUsage(c, workers, tasks)
}

func waitStatus(c *cluster.Cluster, ok func(s api.Status) bool) error {
	return cluster.Eventually(capacityLimit, func() error {
		s, _, err := cluster.CallAsOperator[api.Status](context.Background(), c, http.MethodGet, "g1", "/v1/status", nil, nil)
		if err == nil && !ok(s) {
			err = fmt.Errorf("status is %+v", s)
		}
		return err
	})
}

func waitRunning(c *cluster.Cluster, tasks int) error {
	return cluster.Eventually(capacityLimit, func() error {
		starts, err := c.StartCounts()
		if err == nil && len(starts) < tasks {
			err = fmt.Errorf("%d tasks of %d are running", len(starts), tasks)
		}
		return err
	})
}

// printUsage prints the average resource usage of each role over observationTime, in which no
// calls are made.
func printUsage(c *cluster.Cluster, workers, tasks int) error {
	leader, err := c.Leader(context.Background(), "g1")
	if err != nil {
		return err
	}
	roles := map[string]string{
		"leader":   leader,
		"follower": followerOf(leader),
		"gateway":  "g2",
	}
	util.SleepContext(context.Background(), settleTime)
	before := map[string]processUsage{}
	for role, name := range roles {
		if before[role], err = readUsage(c, name); err != nil {
			return err
		}
	}
	util.SleepContext(context.Background(), observationTime)
	for _, role := range []string{"leader", "follower", "gateway"} {
		now, err := readUsage(c, roles[role])
		if err != nil {
			return err
		}
		was := before[role]
		seconds := observationTime.Seconds()
		fmt.Printf("%7d %5d  %-9s %5.2f  %6.1f  %8.1f  %7.1f\n", workers, tasks, role,
			100*(now.cpu-was.cpu).Seconds()/seconds, now.rssMB,
			(now.bytesWritten-was.bytesWritten)/seconds/1024, (now.bytesRead-was.bytesRead)/seconds/1024)
	}
	return nil
}

func followerOf(leader string) string {
	if leader == "c1" {
		return "c2"
	}
	return "c1"
}

var errNoStat = errors.New("/proc/PID/stat of the process has fewer fields than expected")

// readUsage reads the resource usage of a process from /proc and its metrics.
func readUsage(c *cluster.Cluster, name string) (u processUsage, err error) {
	pid := c.Process(name).PID()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, after, ok := bytes.Cut(stat, []byte(") "))
	fields := strings.Fields(string(after))
	if !ok || len(fields) < 22 {
		return u, errNoStat
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	u.cpu = time.Duration((user + system) / ticksPerSecond * float64(time.Second))
	u.rssMB = pages * float64(os.Getpagesize()) / (1 << 20)
	u.bytesWritten, u.bytesRead, err = controlTraffic(c, name)
	return u, err
}

// controlTraffic returns the bytes of control traffic that a process has written and
// read, from its metrics.
func controlTraffic(c *cluster.Cluster, name string) (written, read float64, err error) {
	r, err := c.Do(context.Background(), http.MethodGet, name, "/metrics", nil, nil)
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(r.Body)) {
		metric, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		n, _ := strconv.ParseFloat(value, 64)
		switch {
		case strings.HasSuffix(metric, "bytes_written_total"):
			written = n
		case strings.HasSuffix(metric, "bytes_read_total"):
			read = n
		}
	}
	return written, read, nil
}
