package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The tests here divide one bound among the budgets of many nodes, at the same total traffic
// for any number of nodes, and request far more retries than are allowed.

const (
	fleetWindow = 10 * time.Second
	fleetStep   = 100 * time.Millisecond
	fleetRatio  = 0.2
	fleetSlack  = 1000.0
	// fleetRate is the first attempts of all nodes per second, fleetRetryShare the
	// share of these that request a retry.
	fleetRate       = 2000.0
	fleetRetryShare = 0.6
)

// budgetFleet simulates nodes that share one bound.
type budgetFleet struct {
	random  *rand.Rand
	now     time.Time
	began   time.Time
	budgets []*WindowBudget
	// weights are the nodes' shares of the traffic.
	weights []float64
	// firsts and retries are the attempts of all nodes together, by step.
	firsts, retries []float64
}

func newBudgetFleet(nodes int, seed uint64, oneSided bool) *budgetFleet {
	f := &budgetFleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(9000, 0)}
	f.began = f.now
	var sum float64
	for n := range nodes {
		weight := 1.0
		if oneSided {
			weight = 1 / float64(n+1)
		}
		f.weights = append(f.weights, weight)
		sum += weight
	}
	for n := range f.weights {
		f.weights[n] /= sum
	}
	for range nodes {
		f.budgets = append(f.budgets, f.newBudget(nodes, f.now.Add(-time.Hour)))
	}
	return f
}

func (f *budgetFleet) newBudget(nodes int, slackFrom time.Time) *WindowBudget {
	return NewWindowBudget(WindowOptions{
		Window: fleetWindow, Ratio: fleetRatio, Slack: fleetSlack / float64(nodes), SlackFrom: slackFrom, Draw: f.random.Float64,
	})
}

// restart replaces all budgets by those of new incarnations, which know nothing of
// the previous ones.
func (f *budgetFleet) restart() {
	for n := range f.budgets {
		f.budgets[n] = f.newBudget(len(f.budgets), f.now)
	}
}

// run has the given share of the nodes take all traffic for some time.
func (f *budgetFleet) run(duration time.Duration, alive float64) {
	living := max(int(alive*float64(len(f.budgets))), 1)
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		var firsts, retries float64
		for n, weight := range f.weights[:living] {
			for range f.poisson(fleetRate * fleetStep.Seconds() * weight / alive) {
				firsts++
				f.budgets[n].AddFirstAttempt(f.now)
				if f.random.Float64() < fleetRetryShare && f.budgets[n].Spend(f.now) {
					retries++
				}
			}
		}
		f.firsts, f.retries = append(f.firsts, firsts), append(f.retries, retries)
	}
}

// poisson draws a number of arrivals.
func (f *budgetFleet) poisson(mean float64) int {
	n := 0
	for t := f.random.ExpFloat64(); t < mean; t += f.random.ExpFloat64() {
		n++
	}
	return n
}

// worstWindowShare returns the highest share of the bound that was spent in any
// window. The first attempts that count are those of the window or of the one
// before, whichever has more, as in the other checks of the bound.
func (f *budgetFleet) worstWindowShare() float64 {
	steps := int(fleetWindow / fleetStep)
	worst := 0.0
	for end := steps; end <= len(f.retries); end++ {
		first := sumOf(f.firsts[end-steps : end])
		if end >= 2*steps {
			first = max(first, sumOf(f.firsts[end-2*steps:end-steps]))
		}
		worst = max(worst, sumOf(f.retries[end-steps:end])/(fleetRatio*first+fleetSlack))
	}
	return worst
}

func sumOf(list []float64) float64 {
	var sum float64
	for _, each := range list {
		sum += each
	}
	return sum
}

// lastWindowShare returns the share of the bound that was spent in the last window.
func (f *budgetFleet) lastWindowShare() float64 {
	steps := int(fleetWindow / fleetStep)
	last := len(f.retries) - steps
	return sumOf(f.retries[last:]) / (fleetRatio*sumOf(f.firsts[last:]) + fleetSlack)
}

// maxBoundShare is the share of the bound that all nodes may spend together. It
// exceeds 1 because the windows of single nodes are a tenth longer, and because of
// chance.
const maxBoundShare = 1.05

// TestManyNodesSpendOneBound requests far more retries than are allowed: together
// the nodes spend nearly the whole bound, and no more, however many they are.
func TestManyNodesSpendOneBound(t *testing.T) {
	for _, nodes := range []int{2, 12, 83, 985, 2000} {
		for _, oneSided := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes, one-sided %v", nodes, oneSided), func(t *testing.T) {
				f := newBudgetFleet(nodes, 7, oneSided)
				f.run(40*time.Second, 1)
				worst, last := f.worstWindowShare(), f.lastWindowShare()
				t.Logf("spent of the bound: %.3f in the worst window, %.3f in the last", worst, last)
				if worst > maxBoundShare {
					t.Errorf("%.3f of the bound was spent in a window", worst)
				}
				if last < 0.8 {
					t.Errorf("only %.3f of the bound was spent", last)
				}
			})
		}
	}
}

// TestBoundHoldsWhenNodesRestart restarts all nodes at once, so that they forget
// what they have spent, and later removes half of them.
func TestBoundHoldsWhenNodesRestart(t *testing.T) {
	for _, nodes := range []int{2, 12, 83, 985, 2000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			f := newBudgetFleet(nodes, 11, false)
			f.run(15*time.Second, 1)
			f.restart()
			f.run(25*time.Second, 1)
			f.run(15*time.Second, 0.5)
			worst := f.worstWindowShare()
			t.Logf("spent of the bound in the worst window: %.3f", worst)
			// What previous incarnations have spent of the first attempts' share is forgotten.
			if worst > 1.2 {
				t.Errorf("%.3f of the bound was spent in a window", worst)
			}
		})
	}
}

// TestFractionsOfARetryAreNotLost gives each of many nodes less than half a retry
// as its part, and requests one from each.
func TestFractionsOfARetryAreNotLost(t *testing.T) {
	const nodes, part = 1000, 0.4
	random := rand.New(rand.NewPCG(3, 1))
	now := time.Unix(9000, 0)
	budgets := make([]*WindowBudget, nodes)
	for n := range budgets {
		budgets[n] = NewWindowBudget(WindowOptions{Window: fleetWindow, Slack: part, Draw: random.Float64})
	}
	made := 0
	for range 20 {
		now = now.Add(fleetStep)
		for _, b := range budgets {
			if b.Spend(now) {
				made++
			}
		}
	}
	if made < 350 || made > 450 {
		t.Errorf("%d retries where %d nodes have %v each", made, nodes, part)
	}
}

// TestShareOfTheBoundIsKeptForOthers first makes retries that may use a third of
// the bound, and then others that may use the rest.
func TestShareOfTheBoundIsKeptForOthers(t *testing.T) {
	b := NewWindowBudget(WindowOptions{Window: fleetWindow, Slack: 9})
	now := time.Unix(9000, 0)
	spend := func(share float64) int {
		n := 0
		for b.SpendWithin(now, share) {
			n++
		}
		return n
	}
	if n := spend(1.0 / 3); n != 3 {
		t.Errorf("%d retries within a third of nine", n)
	}
	if n := spend(1); n != 6 {
		t.Errorf("%d retries of the six left", n)
	}
	if n := spend(4.0 / 3); n != 3 {
		t.Errorf("%d retries within four thirds of nine", n)
	}
}

// TestSlackGrowsFromItsStart checks the bound of a process that has just started.
func TestSlackGrowsFromItsStart(t *testing.T) {
	from := time.Unix(9000, 0)
	b := NewWindowBudget(WindowOptions{Window: fleetWindow, Slack: 8, SlackFrom: from})
	for after, want := range map[time.Duration]float64{-time.Second: 0, 0: 0, 5 * time.Second: 4, 10 * time.Second: 8, time.Minute: 8} {
		if left := b.Left(from.Add(after)); left != want {
			t.Errorf("%v left after %v, want %v", left, after, want)
		}
	}
}
