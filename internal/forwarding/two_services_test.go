package forwarding

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/retry"
)

// twoServices is a load on a service whose requests make nested calls to a second one, while all
// workers of both refuse a part of the requests.
type twoServices struct {
	random *rand.Rand
	now    time.Time
	nodes  int
	// first and second are the retry budgets of each node for the two services.
	first, second []*retry.WindowBudget
	// turnedAway is the share of requests that workers refuse, countRepeats whether nested calls
	// of repeated runs are charged to the budget.
	turnedAway   float64
	countRepeats bool
	// requests and repeats count those at the second service.
	requests, repeats float64
}

const (
	twoServicesRatio = 0.2
	twoServicesSlack = 206.0
	// usedShare is the share of its part of the budget that a node uses.
	usedShare = 0.75
)

func newTwoServices(nodes int, turnedAway float64, countRepeats bool) *twoServices {
	s := &twoServices{
		random: rand.New(rand.NewPCG(uint64(nodes), 9)), now: time.Unix(9000, 0), nodes: nodes,
		turnedAway: turnedAway, countRepeats: countRepeats,
	}
	options := retry.WindowOptions{
		Window: 10 * time.Second, Ratio: twoServicesRatio * usedShare,
		Slack: twoServicesSlack * usedShare / float64(nodes), Draw: s.random.Float64,
	}
	for range nodes {
		s.first, s.second = append(s.first, retry.NewWindowBudget(options)), append(s.second, retry.NewWindowBudget(options))
	}
	return s
}

// lookup simulates one call to the second service, which begins at the node of the run. It
// reports whether it was served.
func (s *twoServices) lookup(node int, repeat bool) bool {
	budget := s.second[node]
	s.requests++
	budget.AddFirstAttempt(s.now)
	if repeat && s.countRepeats && !budget.SpendWithin(s.now, repeatedCallShare) {
		return false
	}
	for again := repeat; ; again = true {
		if again {
			s.repeats++
		}
		if s.random.Float64() >= s.turnedAway {
			return true
		}
		if !budget.SpendWithin(s.now, 1) {
			return false
		}
	}
}

// request simulates one request to the first service.
func (s *twoServices) request() {
	budget := s.first[s.random.IntN(s.nodes)]
	budget.AddFirstAttempt(s.now)
	for again := false; ; again = true {
		if s.random.Float64() >= s.turnedAway && s.run(again) {
			return
		}
		if !budget.SpendWithin(s.now, 1) {
			return
		}
	}
}

// run simulates a run at a worker: half of the runs make two calls.
func (s *twoServices) run(repeat bool) bool {
	if s.random.IntN(2) == 0 {
		return true
	}
	node := s.random.IntN(s.nodes)
	first := s.lookup(node, repeat)
	second := s.lookup(node, repeat)
	return first && second
}

// play returns the repeats at the second service in the last window, as a share of the allowed
// number.
func (s *twoServices) play() float64 {
	const rate, step = 2000, 50 * time.Millisecond
	for t := time.Duration(0); t < 30*time.Second; t += step {
		if t == 20*time.Second {
			s.requests, s.repeats = 0, 0
		}
		for range int(rate * step.Seconds()) {
			s.request()
		}
		s.now = s.now.Add(step)
	}
	return s.repeats / (twoServicesRatio*s.requests + twoServicesSlack)
}

// TestBudgetHoldsOverTwoServices checks the limit on repeats at a service that is called by the
// requests of another one.
func TestBudgetHoldsOverTwoServices(t *testing.T) {
	for _, nodes := range []int{12, 83, 985} {
		for _, turnedAway := range []float64{0.3, 0.5, 0.7} {
			t.Run(fmt.Sprintf("%d nodes, %v turned away", nodes, turnedAway), func(t *testing.T) {
				without := newTwoServices(nodes, turnedAway, false).play()
				with := newTwoServices(nodes, turnedAway, true).play()
				t.Logf("%.2f of what is allowed, %.2f if calls of repeated runs are not counted", with, without)
				if with > 1 {
					t.Errorf("%.2f times the repeats that are allowed", with)
				}
			})
		}
	}
}
