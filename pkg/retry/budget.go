package retry

import (
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

// BudgetOptions configures a Budget. Zero fields take the defaults.
type BudgetOptions struct {
	// Ratio is how many retries are earned by one first attempt. Default 0.1.
	Ratio float64
	// MinimumPerSecond is how many retries are earned each second whatever the
	// traffic, so that services with little traffic can retry at all. Default 1.
	MinimumPerSecond float64
	// Burst bounds how many retries can be saved up. Default 20.
	Burst float64
	// Reward is how many retries are earned by a successful retry. Default 0.
	Reward float64
}

// The defaults of BudgetOptions.
const (
	DefaultRatio            = 0.1
	DefaultMinimumPerSecond = 1.0
	DefaultBurst            = 20.0
)

// Budget bounds the retries to one service: first attempts and the passing of
// time earn tokens, and each retry spends one. It is safe for concurrent use.
type Budget struct {
	ratio, perSecond, burst, reward float64

	mutex   contain.Mutex
	tokens  float64
	updated time.Time
}

// NewBudget returns a full budget.
func NewBudget(options BudgetOptions) *Budget {
	return &Budget{
		ratio:     orDefault(options.Ratio, DefaultRatio),
		perSecond: orDefault(options.MinimumPerSecond, DefaultMinimumPerSecond),
		burst:     orDefault(options.Burst, DefaultBurst),
		tokens:    orDefault(options.Burst, DefaultBurst),
		reward:    options.Reward,
	}
}

func orDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}

// Earn counts one first attempt.
func (b *Budget) Earn() {
	b.mutex.Lock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
	b.mutex.Unlock()
}

// Succeed counts a successful retry.
func (b *Budget) Succeed() {
	b.mutex.Lock()
	b.tokens = min(b.tokens+b.reward, b.burst)
	b.mutex.Unlock()
}

// Spend takes the token of one retry. It reports false, and takes nothing, when
// there is none.
func (b *Budget) Spend(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns how many retries could be made now.
func (b *Budget) Tokens(now time.Time) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	return b.tokens
}

func (b *Budget) refill(now time.Time) {
	if b.updated.IsZero() {
		b.updated = now
		return
	}
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.tokens = min(b.tokens+elapsed.Seconds()*b.perSecond, b.burst)
}
