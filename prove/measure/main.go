// Command measure runs the measurements whose figures the documentation quotes:
// scheduling policies over generated days, the cost of gateways compared with
// direct calls, and the resource usage of each role.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/plantainladder/plantainladder/prove/cluster"
)

const usage = `measure runs the measurements that the documentation quotes.

  measure policy     the scheduler over generated days, five seeds, compared with first-in-first-out first-fit
  measure requests   latency and goodput through gateways, compared with direct calls
  measure today      the same at today's full size: 9 gateways, 50 minions of 8 slots
  measure limit      requests per second of one gateway at its limit
  measure edits      memory of each role and disk usage of the leader over a long run of edits
  measure replay     outcomes of a simulated load of workflows by policy; see its -help
  measure capacity   processor time, memory and control traffic of each role at several numbers of workers`

// withCore runs f with a started cluster, whose files are removed afterwards.
func withCore(gateways int, f func(c *cluster.Cluster) error) (err error) {
	folder, err := os.MkdirTemp("", "plantainladder-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c, err := cluster.New(cluster.Config{
		Folder:      folder,
		Controllers: controllers,
		Gateways:    gateways,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	if err = c.Start(); err != nil {
		return err
	}
	return f(c)
}

const (
	controllers = 3
	gateways    = 3
)

// Today's sizes, as in docs/CAPACITY.md.
const (
	todayGateways = 9
	todayMinions  = 50
)

func main() {
	if len(os.Args) != 2 && (len(os.Args) < 2 || os.Args[1] != "replay") {
		fmt.Println(usage)
		os.Exit(2)
	}
	defer cluster.RemoveBuild()
	var err error
	switch os.Args[1] {
	case "policy":
		measurePolicy()
	case "requests":
		err = measureRequests(requestSetup{
			gateways: gateways,
			minions:  6,
			run:      50 * time.Millisecond,
		})
	case "today":
		err = measureRequests(requestSetup{
			gateways: todayGateways,
			minions:  todayMinions,
			run:      400 * time.Millisecond,
		})
	case "limit":
		err = measureLimit(requestSetup{
			gateways: 1,
			minions:  24,
			run:      5 * time.Millisecond,
		})
	case "edits":
		err = withCore(gateways, measureEdits)
	case "replay":
		err = measureReplay(os.Args[2:])
	case "capacity":
		err = measureCapacity()
	default:
		fmt.Println(usage)
		os.Exit(2)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
