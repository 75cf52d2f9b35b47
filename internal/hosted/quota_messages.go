package hosted

import (
	"math"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/quota"
)

// errNoQuotas answers a node that asks for tokens where no limits are enforced.
var errNoQuotas = twirp.NewError(twirp.Unimplemented, "this node keeps no limits")

func borrowMessage(r quota.Request) *exchangepb.BorrowRequest {
	message := &exchangepb.BorrowRequest{Sender: r.Node, Life: r.Incarnation, Number: r.Number, Stamp: stampMessage(r.Stamp), Share: r.Share, Pooled: r.HoldsLeasedShares}
	for _, w := range r.Demands {
		message.Wants = append(message.Wants, &exchangepb.TokenWant{
			Tenant: w.Tenant, Rate: w.Limit.Rate, Burst: w.Limit.Burst,
			Held: float32(w.Held), Returned: float32(w.Returned), Wanted: float32(w.Requested), Waiting: float32(w.Waiting),
		})
	}
	return message
}

// requestOf leaves out demands without a limit, which no node makes.
func requestOf(message *exchangepb.BorrowRequest) quota.Request {
	r := quota.Request{Node: message.GetSender(), Incarnation: message.GetLife(), Number: message.GetNumber(), Stamp: stampOf(message.GetStamp()), Share: amount(message.GetShare()), HoldsLeasedShares: message.GetPooled()}
	for _, w := range message.GetWants() {
		limit := quota.Limit{Rate: amount(w.GetRate()), Burst: amount(w.GetBurst())}
		if limit.Unlimited() {
			continue
		}
		r.Demands = append(r.Demands, quota.Demand{
			Tenant: w.GetTenant(), Limit: limit,
			Held: amount(float64(w.GetHeld())), Returned: amount(float64(w.GetReturned())),
			Requested: amount(float64(w.GetWanted())), Waiting: amount(float64(w.GetWaiting())),
		})
	}
	return r
}

func answerMessage(a quota.Answer) *exchangepb.BorrowResponse {
	message := &exchangepb.BorrowResponse{Stamp: stampMessage(a.Stamp), Vouched: a.Confirmed}
	for _, g := range a.Grants {
		message.Grants = append(message.Grants, &exchangepb.TokenGrant{Tenant: g.Tenant, Tokens: float32(g.Tokens), NextUs: microseconds(g.Next)})
	}
	return message
}

func answerOf(message *exchangepb.BorrowResponse) quota.Answer {
	a := quota.Answer{Stamp: stampOf(message.GetStamp()), Confirmed: message.GetVouched()}
	for _, g := range message.GetGrants() {
		a.Grants = append(a.Grants, quota.Grant{
			Tenant: g.GetTenant(), Tokens: amount(float64(g.GetTokens())), Next: time.Duration(g.GetNextUs()) * time.Microsecond,
		})
	}
	return a
}

func stampMessage(s quota.Stamp) *exchangepb.Stamp {
	if s.Incarnation == 0 {
		return nil
	}
	return &exchangepb.Stamp{Life: s.Incarnation, AtNs: int64(s.At)}
}

func stampOf(message *exchangepb.Stamp) quota.Stamp {
	return quota.Stamp{Incarnation: message.GetLife(), At: time.Duration(message.GetAtNs())}
}

// microseconds rounds up, so that no positive wait becomes zero.
func microseconds(d time.Duration) uint32 {
	us := (d + time.Microsecond - 1) / time.Microsecond
	return uint32(min(max(us, 0), math.MaxUint32))
}

// amount returns a number of tokens: zero for a negative or infinite number or NaN.
func amount(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return max(x, 0)
}
