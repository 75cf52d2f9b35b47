package hosted

import (
	"math/rand/v2"
	"slices"

	"github.com/levertide/levertide/pkg/fleet"
)

// pickRandom returns some of the nodes, in random order.
func pickRandom(nodes []*fleet.Node, count int) []*fleet.Node {
	shuffled := slices.Clone(nodes)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(count, len(shuffled))]
}
