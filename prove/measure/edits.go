package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/plantainladder/plantainladder/prove/cluster"
	"github.com/plantainladder/plantainladder/prove/history"
	"github.com/plantainladder/plantainladder/util"
)

const (
	editors       = 8
	editRounds    = 6
	editRoundTime = 10 * time.Second
	// editPause keeps the number of edits of a run below 20,000, the number of
	// commands whose outcomes are remembered.
	editPause        = 20 * time.Millisecond
	editsSettleLimit = 20 * time.Second
)

// measureEdits lets several operators edit contracts at the same time. After each
// round it prints the memory of each role and the leader's disk usage.
func measureEdits(c *cluster.Cluster) (err error) {
	leader, err := c.Leader(context.Background(), "g1")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ends := make(chan error, editors)
	var all []*history.Editor
	for i := range editors {
		e := &history.Editor{
			Cluster:      c,
			Organisation: fmt.Sprintf("o%d", i),
			Gateways:     cluster.Names("g", gateways),
			Pause:        editPause,
		}
		all = append(all, e)
		go func() { ends <- e.Run(ctx) }()
	}
	fmt.Println("  edits  edits/s  leader-MB  follower-MB  gateway-MB  leader-disk-MB")
	var before int64
	for range editRounds {
		util.SleepContext(context.Background(), editRoundTime)
		edits := totalAcked(all)
		if err = printMemoryAndDisk(c, leader, edits, float64(edits-before)/editRoundTime.Seconds()); err != nil {
			return err
		}
		before = edits
	}
	cancel()
	for range editors {
		err = errors.Join(err, <-ends)
	}
	for _, e := range all {
		err = errors.Join(err, e.Check(editsSettleLimit))
	}
	return err
}

func totalAcked(all []*history.Editor) int64 {
	var n int64
	for _, e := range all {
		n += e.Acked.Load()
	}
	return n
}

func printMemoryAndDisk(c *cluster.Cluster, leader string, edits int64, rate float64) error {
	memoryMB := make([]float64, 0, 3)
	for _, name := range []string{leader, followerOf(leader), "g2"} {
		u, err := readUsage(c, name)
		if err != nil {
			return err
		}
		memoryMB = append(memoryMB, u.rssMB)
	}
	disk, err := diskMB(c.DataDir(leader))
	fmt.Printf("%7d  %7.0f  %9.1f  %11.1f  %10.1f  %14.1f\n", edits, rate, memoryMB[0], memoryMB[1], memoryMB[2], disk)
	return err
}

// diskMB returns the size of all files in a folder, in MiB. Files that are removed
// meanwhile are left out.
func diskMB(folder string) (mb float64, err error) {
	err = filepath.WalkDir(folder, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return ignoreNotExist(err)
		}
		info, err := d.Info()
		if err != nil {
			return ignoreNotExist(err)
		}
		mb += float64(info.Size()) / (1 << 20)
		return nil
	})
	return mb, err
}

func ignoreNotExist(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
