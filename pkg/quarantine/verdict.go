package quarantine

import (
	"slices"
	"time"
)

// Verdict states that a request is quarantined.
type Verdict struct {
	Fingerprint Fingerprint
	// Since and Until are wall-clock times: a verdict outlives every process, and no other
	// clock does.
	Since, Until time.Time
	// Instances are the workers known to have ended while running the request.
	Instances []string
}

// quarantine turns a suspect into a verdict. The mutex is held.
func (t *Table) quarantine(f Fingerprint, s *suspect, now time.Time) {
	v := Verdict{Fingerprint: f, Since: now, Until: now.Add(t.options.Duration)}
	for _, c := range s.crashes {
		v.Instances = append(v.Instances, c.instance)
	}
	delete(t.suspects, f)
	t.addVerdict(v)
}

// addVerdict adds a verdict. When the table is full it evicts the verdict that ends first.
// The mutex is held.
func (t *Table) addVerdict(v Verdict) {
	if _, found := t.verdicts[v.Fingerprint]; !found && len(t.verdicts) >= t.options.Verdicts {
		var first Verdict
		for _, held := range t.verdicts {
			if first.Until.IsZero() || held.Until.Before(first.Until) {
				first = held
			}
		}
		t.removeVerdict(first.Fingerprint)
	}
	t.verdicts[v.Fingerprint] = v
	t.updateEntryCount()
}

// removeVerdict removes a verdict. The mutex is held.
func (t *Table) removeVerdict(f Fingerprint) {
	delete(t.verdicts, f)
	delete(t.confirmed, f)
	t.updateEntryCount()
}

// verdict returns the verdict in force on a request. A verdict that has ended is replaced
// by a suspect, so that one more crash is enough to quarantine the request again. The
// mutex is held.
func (t *Table) verdict(f Fingerprint, now time.Time) (Verdict, bool) {
	v, found := t.verdicts[f]
	if !found || now.Before(v.Until) {
		return v, found
	}
	delete(t.verdicts, f)
	t.evictWeakestSuspect()
	s := &suspect{updatedAt: now}
	for n, instance := range v.Instances {
		s.addCrash(crash{instance: instance, level: min(n+1, t.options.Limit-1), at: now})
	}
	s.crashes = s.crashes[:min(len(s.crashes), t.options.Limit-1)]
	t.suspects[f] = s
	t.updateEntryCount()
	return Verdict{}, false
}

// Verdicts returns the verdicts in force, sorted by fingerprint.
func (t *Table) Verdicts(now time.Time) []Verdict {
	return t.list(now, func(Fingerprint) bool { return true })
}

// Confirmed returns the verdicts on requests of which this node has itself seen a crash,
// and those restored from its previous incarnation. It holds these on behalf of other nodes.
func (t *Table) Confirmed(now time.Time) []Verdict {
	return t.list(now, func(f Fingerprint) bool { return t.confirmed[f] })
}

func (t *Table) list(now time.Time, selected func(Fingerprint) bool) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Verdict
	for f := range t.verdicts {
		if v, found := t.verdict(f, now); found && selected(f) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}

// Restore adds verdicts of another node or, with confirm set, of a previous incarnation of
// this node. It returns those that are new. It leaves out verdicts that a later complete
// answer or a lift outweighs.
func (t *Table) Restore(verdicts []Verdict, confirm bool, now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var added []Verdict
	for _, v := range verdicts {
		if _, found := t.verdicts[v.Fingerprint]; found {
			t.confirmed[v.Fingerprint] = t.confirmed[v.Fingerprint] || confirm
			continue
		}
		// No verdict lasts longer than one made now, however wrong the clock of its origin.
		v.Until = earlier(v.Until, now.Add(t.options.Duration))
		s := t.suspects[v.Fingerprint]
		if !now.Before(v.Until) || s != nil && s.supersedesCrash(v.Since) {
			continue
		}
		delete(t.suspects, v.Fingerprint)
		t.addVerdict(v)
		if confirm {
			t.confirmed[v.Fingerprint] = true
		}
		added = append(added, v)
	}
	return added
}
