package quota

// Limit is the request limit of a tenant, over all nodes together.
type Limit struct {
	// Rate is in requests a second; zero or less sets no limit.
	Rate float64
	// Burst is how many requests are admitted at once beyond the rate.
	Burst float64
}

// Unlimited reports whether everything is admitted.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// Tolerance is by how much all nodes together may exceed a limit: in each window by a share
// of what it allows, and by a number of requests.
type Tolerance struct {
	Overage, Slack float64
}

// usedTolerance is the fraction of a tolerance that tokens are minted for. It lets small
// tenants have whole tokens at several hubs. The rest covers nodes that disagree on the
// number of nodes.
const usedTolerance = 0.5

// raise returns the limit that tokens are minted by.
func (t Tolerance) raise(l Limit) Limit {
	factor := 1 + t.Overage*usedTolerance
	return Limit{Rate: l.Rate * factor, Burst: max(l.Burst, 0)*factor + t.Slack*usedTolerance}
}

// spare is the part of the slack that raise does not use.
func (t Tolerance) spare() float64 { return t.Slack * (1 - usedTolerance) }

// lower returns the lower rate and the lower burst of two limits.
func lower(a, b Limit) Limit {
	return Limit{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}
