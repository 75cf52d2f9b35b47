package rollout

import "fmt"

// watermark holds the highest numbers seen in any head.
type watermark struct {
	generation  uint64
	committed   Version
	highestUsed Version
}

func (w *watermark) raise(head Head) {
	w.generation = max(w.generation, head.Generation)
	w.committed = max(w.committed, head.Committed)
	w.highestUsed = max(w.highestUsed, head.HighestUsed)
}

// regression reports whether a head has a lower number than an earlier one,
// and describes which. It happens after a store was restored from an older copy.
func (w *watermark) regression(head Head) (string, bool) {
	switch {
	case head.Committed < w.committed:
		return fmt.Sprintf("the store returned an older state: committed version %d after %d", head.Committed, w.committed), true
	case head.HighestUsed < w.highestUsed:
		return fmt.Sprintf("the store returned an older state: highest version %d after %d", head.HighestUsed, w.highestUsed), true
	case head.Generation < w.generation:
		return fmt.Sprintf("the store returned an older state: head generation %d after %d", head.Generation, w.generation), true
	default:
		return "", false
	}
}

func overwrittenText(seen, head Head) string {
	return fmt.Sprintf("the store was overwritten: head generation %d belongs to apply %q, and to %q before",
		head.Generation, head.ApplyID, seen.ApplyID)
}
