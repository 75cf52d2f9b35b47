package quarantine

import (
	"slices"
	"time"
)

// Verdict tells that a request is quarantined.
type Verdict struct {
	Fingerprint Fingerprint
	// Since and Until are times of day: a verdict outlasts all processes, and no other
	// clock does.
	Since, Until time.Time
	// Instances are the workers that have ended, as far as they are known.
	Instances []string
}

// sentence quarantines a request. The mutex is held.
func (t *Table) sentence(f Fingerprint, s *suspect, now time.Time) {
	v := Verdict{Fingerprint: f, Since: now, Until: now.Add(t.options.Duration)}
	for _, c := range s.crashes {
		v.Instances = append(v.Instances, c.instance)
	}
	delete(t.suspects, f)
	t.keep(v)
}

// keep adds a verdict; the one that ends first gives way when there are too many. The
// mutex is held.
func (t *Table) keep(v Verdict) {
	if _, found := t.verdicts[v.Fingerprint]; !found && len(t.verdicts) >= t.options.Verdicts {
		var first Verdict
		for _, held := range t.verdicts {
			if first.Until.IsZero() || held.Until.Before(first.Until) {
				first = held
			}
		}
		t.drop(first.Fingerprint)
	}
	t.verdicts[v.Fingerprint] = v
	t.count()
}

// drop removes a verdict. The mutex is held.
func (t *Table) drop(f Fingerprint) {
	delete(t.verdicts, f)
	delete(t.vouched, f)
	t.count()
}

// verdict returns the verdict on a request that is in force. One that has ended leaves
// the request suspected, so that one more crash is enough. The mutex is held.
func (t *Table) verdict(f Fingerprint, now time.Time) (Verdict, bool) {
	v, found := t.verdicts[f]
	if !found || now.Before(v.Until) {
		return v, found
	}
	delete(t.verdicts, f)
	t.makeRoom()
	s := &suspect{touched: now}
	for n, instance := range v.Instances {
		s.enter(crash{instance: instance, level: min(n+1, t.options.Limit-1), at: now})
	}
	s.crashes = s.crashes[:min(len(s.crashes), t.options.Limit-1)]
	t.suspects[f] = s
	t.count()
	return Verdict{}, false
}

// Verdicts returns the requests that are quarantined, in the order of their
// fingerprints.
func (t *Table) Verdicts(now time.Time) []Verdict {
	return t.list(now, func(Fingerprint) bool { return true })
}

// Confirmed returns the verdicts on requests of which this node has itself seen a crash,
// and those restored from its previous incarnation. It holds these on behalf of other nodes.
func (t *Table) Confirmed(now time.Time) []Verdict {
	return t.list(now, func(f Fingerprint) bool { return t.vouched[f] })
}

func (t *Table) list(now time.Time, wanted func(Fingerprint) bool) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Verdict
	for f := range t.verdicts {
		if v, found := t.verdict(f, now); found && wanted(f) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}

// Restore takes verdicts of another node, or with vouch of a former life of this one.
// It returns those that are new. A verdict that a whole answer has outweighed since is
// left out.
func (t *Table) Restore(verdicts []Verdict, vouch bool, now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var taken []Verdict
	for _, v := range verdicts {
		if _, found := t.verdicts[v.Fingerprint]; found {
			t.vouched[v.Fingerprint] = t.vouched[v.Fingerprint] || vouch
			continue
		}
		// No verdict lasts longer than one that is given now, whatever clock it came from.
		v.Until = earlier(v.Until, now.Add(t.options.Duration))
		s := t.suspects[v.Fingerprint]
		if !now.Before(v.Until) || s != nil && s.outweighs(v.Since) {
			continue
		}
		delete(t.suspects, v.Fingerprint)
		t.keep(v)
		if vouch {
			t.vouched[v.Fingerprint] = true
		}
		taken = append(taken, v)
	}
	return taken
}
