package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// way is one way in which nodes may keep the limit of a worker together.
type way interface {
	// offer reports whether a node sends a request to the worker now, and whether it had to ask
	// another node for that.
	offer(node int, now time.Time) (sent, asked bool)
}

// wholeEach has each node keep the whole limit by itself.
type wholeEach []*Pacer

func (w wholeEach) offer(node int, now time.Time) (sent, asked bool) {
	if !w[node].Ready(now) {
		return false, false
	}
	w[node].Take(now)
	return true, false
}

// oneOwner has the node beside the worker keep the limit. The other nodes ask it, each not before
// its turn. The owner's own callers need not ask.
type oneOwner struct {
	pacer *Pacer
	turns []time.Time
}

func (w *oneOwner) offer(node int, now time.Time) (sent, asked bool) {
	if now.Before(w.turns[node]) {
		return false, false
	}
	if w.pacer.Ready(now) {
		w.pacer.Take(now)
		return true, node > 0
	}
	if node > 0 {
		w.turns[node] = now.Add(w.pacer.Turn(now))
	}
	return false, node > 0
}

func newWays(nodes int, perSecond float64, now time.Time) map[string]way {
	whole, shares := make(wholeEach, nodes), make(wholeEach, nodes)
	for n := range nodes {
		whole[n] = New(perSecond, now)
		// Without leastRate: a node asks seldom enough by the size of its share.
		shares[n] = New(max(perSecond/float64(nodes), leastRate), now)
	}
	return map[string]way{"whole": whole, "1/N": shares, "owner": &oneOwner{pacer: New(perSecond, now), turns: make([]time.Time, nodes)}}
}

// replayed is what a way came to.
type replayed struct {
	// used is the share of the limit that the worker got, over the most requests in four seconds
	// relative to what is allowed, and asks the messages for each request that it got.
	used, over, asks float64
}

// replay has callers ask for four times the limit for a minute.
func replay(w way, perSecond float64, caller func() int) replayed {
	const length = time.Minute
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	end := now.Add(length)
	var starts []time.Time
	var result replayed
	worst, first, asks := 0, 0, 0
	for now.Before(end) {
		now = now.Add(time.Duration(random.ExpFloat64() / (4 * perSecond) * float64(time.Second)))
		sent, asked := w.offer(caller(), now)
		if asked {
			asks++
		}
		if !sent {
			continue
		}
		starts = append(starts, now)
		for now.Sub(starts[first]) >= 4*time.Second {
			first++
		}
		worst = max(worst, len(starts)-first)
	}
	result.used = float64(len(starts)) / (perSecond * length.Seconds())
	result.over = float64(worst) / allowed(perSecond)
	result.asks = float64(asks) / float64(max(len(starts), 1))
	return result
}

// TestWaysToKeepTheLimitOfAWorker compares the ways at meshes of several sizes, with callers at all
// nodes alike, or at one of them. The limit must hold in the way that is taken, and it must use no
// less of it than the other one that holds.
func TestWaysToKeepTheLimitOfAWorker(t *testing.T) {
	for _, nodes := range []int{2, 12, 68, 300, 1900} {
		for _, perSecond := range []float64{1.2, 5, 50} {
			for _, uneven := range []bool{false, true} {
				random := rand.New(rand.NewPCG(3, 4))
				caller := func() int {
					if uneven {
						return nodes - 1
					}
					return random.IntN(nodes)
				}
				results := map[string]replayed{}
				for name, w := range newWays(nodes, perSecond, time.Unix(1000, 0)) {
					results[name] = replay(w, perSecond, caller)
				}
				load := "even"
				if uneven {
					load = "one node"
				}
				row := fmt.Sprintf("| %d | %v | %s |", nodes, perSecond, load)
				for _, name := range []string{"whole", "1/N", "owner"} {
					row += fmt.Sprintf(" %.2f, %.2f |", results[name].used, results[name].over)
				}
				t.Logf("%s %.1f |", row, results["owner"].asks)
				if results["owner"].over > 1 {
					t.Errorf("%d nodes, %v a second, %s: the worker got %.2f times what is allowed", nodes, perSecond, load, results["owner"].over)
				}
				if shares := results["1/N"]; shares.over <= 1 && results["owner"].used < min(shares.used, 1)-0.1 {
					t.Errorf("%d nodes, %v a second, %s: %.2f of the limit is used, %.2f with parts", nodes, perSecond, load, results["owner"].used, shares.used)
				}
			}
		}
	}
}
