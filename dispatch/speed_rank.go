package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/plantainladder/plantainladder/speed"
)

const (
	// speedBucket is the logarithm of the speeds that count as equal for the order of nodes.
	speedBucket = 0.25
	// sufficientProbability is the probability of being fast enough from which on a node is
	// taken without hesitation. A gang takes several.
	sufficientProbability = 0.95
	// insufficientRank is the least rank of the nodes with a lower probability.
	insufficientRank = 100
	// slackSpeed is the needed speed up to which nodes of unknown speed are tried before
	// those of a usual one. unknownDeviation is the deviation from which on a speed counts
	// as unknown.
	slackSpeed       = 0.5
	unknownDeviation = 0.25
)

// speedRank returns the rank of a node in the order in which a task group takes nodes:
// those that are fast enough to meet the target completion go first, the slowest of them
// before the others, which other work may need. The rest follows, the most probable first.
// Urgent work that is late on each of them takes the fastest.
func (g taskGroup) speedRank(n *node) int {
	if n.speed == (speed.Belief{}) {
		return 0
	}
	bucket := int(math.Round(n.speed.Mean / speedBucket))
	if g.neededSpeed == unreachableSpeed && g.wf.QueueSettings.Priority == 0 {
		return insufficientRank - bucket
	}
	if p := n.speed.ProbabilityAbove(g.neededSpeed); p < sufficientProbability {
		return insufficientRank + int(insufficientRank*(1-p))
	}
	if n.speed.Deviation > unknownDeviation && g.neededSpeed <= slackSpeed {
		return -1
	}
	return bucket
}

// worstRank returns the highest speed rank of the assigned nodes.
func (g taskGroup) worstRank(list []assignment) int {
	worst := math.MinInt
	for _, a := range list {
		worst = max(worst, g.speedRank(a.node))
	}
	return worst
}

// speedReason returns, for the log, the speed of the slowest assigned node and the speed that
// the task group needs; empty if no speed played a part.
func (g taskGroup) speedReason(list []assignment) string {
	slowest := list[0].node.speed
	for _, a := range list {
		if a.node.speed.Mean < slowest.Mean {
			slowest = a.node.speed
		}
	}
	if slowest == (speed.Belief{}) {
		return ""
	}
	return fmt.Sprintf(", speed %.2f, needed %.2f", math.Exp(slowest.Mean), g.neededSpeed)
}

// speedMargin is the factor by which a worker must be faster than a target completion
// requires. It covers the time until a run has begun, and until its end is known.
const speedMargin = 1.1

// unreachableSpeed stands for a needed speed above all usual ones.
const unreachableSpeed = -1.0

// neededSpeed returns the speed at which work must run to be done by a time, or
// unreachableSpeed. It is 0 in a task group of a pool whose workers are equal.
func neededSpeed(now time.Time, work time.Duration, by time.Time) float64 {
	left := by.Sub(now)
	if left <= 0 || work > time.Duration(float64(left)*math.Exp(speed.MaxDeviation)) {
		return unreachableSpeed
	}
	return speedMargin * work.Seconds() / left.Seconds()
}

// atSpeed returns the time that work takes at a speed, which is given by its logarithm.
func atSpeed(work time.Duration, logSpeed float64) time.Duration {
	if logSpeed == 0 {
		return work
	}
	return time.Duration(float64(work) * math.Exp(-logSpeed))
}
