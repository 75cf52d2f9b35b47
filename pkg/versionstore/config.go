package versionstore

import (
	"time"

	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/ratelimit"
)

// Defaults of Config.
const (
	DefaultPrefix           = "levertide/"
	DefaultRetain           = 16
	DefaultSweepSlack       = 8
	DefaultMaxResources     = 2000
	DefaultMaxResourceBytes = 64 << 10
	DefaultSettleTimeout    = 15 * time.Second
	DefaultMinimumPause     = 50 * time.Millisecond
	DefaultMaximumPause     = 2 * time.Second
)

// Config configures a VersionStore. Zero fields other than Store get the defaults.
type Config struct {
	// Store is the platform's key-value service. A *ratelimit.View keeps its own
	// limiter; any other store is wrapped in one that uses Rate.
	Store store.Store
	// Prefix is prepended to all keys and ends with a slash.
	Prefix string
	// Rate bounds the requests sent to Store.
	Rate ratelimit.Options
	// Retain is how many of the newest versions are kept besides those that
	// the head names. SweepSlack is how many more may accumulate before Sweep
	// removes them.
	Retain     int
	SweepSlack int
	// MaxResources and MaxResourceBytes bound one version.
	MaxResources     int
	MaxResourceBytes int
	// SettleTimeout bounds how long a write is read back or repeated after its
	// response was lost.
	SettleTimeout time.Duration
	// MinimumPause and MaximumPause are the first and the largest bound of the
	// pauses, with full jitter, between such attempts.
	MinimumPause time.Duration
	MaximumPause time.Duration
	// Now returns the wall clock for the times shown to people; no decision
	// depends on it. Nil means time.Now.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	if c.Prefix == "" {
		c.Prefix = DefaultPrefix
	}
	setDefault(&c.Retain, DefaultRetain)
	setDefault(&c.SweepSlack, DefaultSweepSlack)
	setDefault(&c.MaxResources, DefaultMaxResources)
	setDefault(&c.MaxResourceBytes, DefaultMaxResourceBytes)
	setDefault(&c.SettleTimeout, DefaultSettleTimeout)
	setDefault(&c.MinimumPause, DefaultMinimumPause)
	setDefault(&c.MaximumPause, DefaultMaximumPause)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func setDefault[Number int | time.Duration](value *Number, fallback Number) {
	if *value <= 0 {
		*value = fallback
	}
}

// VersionStore reads and writes versions. It is safe for concurrent use.
type VersionStore struct {
	config       Config
	store        store.Store
	housekeeping store.Store
	limiter      *ratelimit.Limiter
	guard        guard
}

// New returns a version store over config.Store.
func New(config Config) *VersionStore {
	config = config.withDefaults()
	limiter := limiterOf(config)
	return &VersionStore{
		config:       config,
		store:        limiter.Normal(),
		housekeeping: limiter.Housekeeping(),
		limiter:      limiter,
	}
}

func limiterOf(config Config) *ratelimit.Limiter {
	if view, limited := config.Store.(*ratelimit.View); limited {
		return view.Limiter()
	}
	return ratelimit.New(config.Store, config.Rate)
}

// Requests returns how many requests this process has sent to the store.
func (v *VersionStore) Requests() uint64 { return v.limiter.Requests() }
