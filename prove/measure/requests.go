package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/standin/caller"
	"github.com/plantainladder/plantainladder/util"
)

const (
	slotsPerMinion = 8
	requestTime    = 8 * time.Second
	settleTime     = 4 * time.Second
)

// A requestSetup holds the number of processes and the run time of requests.
type requestSetup struct {
	gateways, minions int
	run               time.Duration
}

func (z requestSetup) slots() int {
	return z.minions * slotsPerMinion
}

// measureRequests compares calls through gateways with direct calls, and measures
// calls through gateways under overload.
func measureRequests(z requestSetup) error {
	return withCore(z.gateways, func(c *cluster.Cluster) error {
		return measureRequestsOn(c, z)
	})
}

// measureLimit offers more requests than one gateway can forward, while the minions
// have free slots.
func measureLimit(z requestSetup) error {
	return withCore(z.gateways, func(c *cluster.Cluster) (err error) {
		if err = startMinions(c, z); err != nil {
			return err
		}
		fmt.Println("way            offered/s  done/s   p50-ms   p99-ms")
		for _, route := range []string{"gateway", "gateway-once"} {
			for _, rate := range []float64{1000, 2000, 4000, 8000} {
				r, err := runLoad(c, z, route, rate)
				if err != nil {
					return err
				}
				fmt.Printf("%-14s %9.0f  %6.0f  %7.1f  %7.1f\n", route, rate, r.GoodputPerSecond, r.P50MS, r.P99MS)
			}
		}
		return nil
	})
}

// startMinions starts the minions and guarantees all their slots to one organisation.
func startMinions(c *cluster.Cluster, z requestSetup) (err error) {
	for i, name := range cluster.Names("m", z.minions) {
		if err = c.StartMinion(name, fmt.Sprintf("dc%d", i%4)); err != nil {
			return err
		}
	}
	if err = c.PutContract(cluster.Contract("o", 0, 0, z.slots(), z.slots())); err != nil {
		return err
	}
	util.SleepContext(context.Background(), settleTime)
	return nil
}

func measureRequestsOn(c *cluster.Cluster, z requestSetup) (err error) {
	if err = startMinions(c, z); err != nil {
		return err
	}
	full := float64(z.slots()) / z.run.Seconds()
	fmt.Printf("%d gateways, %d minions of %d slots, %s a request: all slots carry %.0f/s\n",
		z.gateways, z.minions, slotsPerMinion, z.run, full)
	fmt.Println("load        way            rate/s  done/s   p50-ms   p99-ms  outcomes")
	for _, share := range []float64{0.3, 0.6, 0.9} {
		for _, route := range []string{"direct", "gateway", "gateway-once"} {
			if err = measureLoad(c, z, route, share, full*share); err != nil {
				return err
			}
		}
	}
	for _, share := range []float64{1, 2, 4} {
		if err = measureLoad(c, z, "gateway", share, full*share); err != nil {
			return err
		}
	}
	over, ran, err := c.CapacityViolations()
	if err != nil {
		return err
	}
	fmt.Printf("%d runs; %d exceeded the announced requests or connections of a minion\n", ran, len(over))
	u, err := readUsage(c, "g1")
	fmt.Printf("gateway g1: %.1f MB, %.1f KB of control traffic written and %.1f KB read since its start\n",
		u.rssMB, u.bytesWritten/1024, u.bytesRead/1024)
	return err
}

func measureLoad(c *cluster.Cluster, z requestSetup, route string, share, rate float64) error {
	r, err := runLoad(c, z, route, rate)
	if err != nil {
		return err
	}
	fmt.Printf("%-11s %-14s %6.0f  %6.0f  %7.1f  %7.1f  %v\n",
		fmt.Sprintf("%.0f%%", 100*share), route, rate, r.GoodputPerSecond, r.P50MS, r.P99MS, r.Outcomes)
	util.SleepContext(context.Background(), settleTime/2)
	return nil
}

func runLoad(c *cluster.Cluster, z requestSetup, route string, rate float64) (r caller.Report, err error) {
	addresses := make([]string, 0, z.gateways)
	for _, name := range cluster.Names("g", z.gateways) {
		addresses = append(addresses, c.DirectAddress(name))
	}
	args := []string{"load", "--token", cluster.CallerToken}
	if route == "direct" {
		addresses = addresses[:0]
		for _, name := range cluster.Names("m", z.minions) {
			addresses = append(addresses, c.DirectAddress(name))
		}
		args = []string{"load", "--token", cluster.MinionToken, "--direct"}
	}
	args = append(args,
		"--gateways", strings.Join(addresses, ","),
		"--organisation", "o",
		"--class", "normal",
		"--deadline", "2s",
		"--run-ms", fmt.Sprint(z.run.Milliseconds()),
		"--rate", fmt.Sprint(rate),
		"--duration", requestTime.String(),
		fmt.Sprintf("--idempotent=%t", route != "gateway-once"),
	)
	ctx, cancel := context.WithTimeout(context.Background(), 10*requestTime)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(c.BinaryDir(), "standin"), args...).Output()
	if err != nil {
		return r, err
	}
	err = json.Unmarshal(out, &r)
	return r, err
}
