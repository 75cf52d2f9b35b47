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

// Config configures a VersionStore; zero fields other than Store take the defaults.
type Config struct {
	// Store is the platform's key-value service. A store that is a
	// *ratelimit.View keeps its limiter; any other gets one with Rate.
	Store store.Store
	// Prefix is put before all keys and ends with a slash.
	Prefix string
	// Rate bounds the requests sent to Store.
	Rate ratelimit.Options
	// Retain is how many of the newest versions are kept besides those that
	// the head names. SweepSlack is how many more may gather before Sweep
	// removes them.
	Retain     int
	SweepSlack int
	// MaxResources and MaxResourceBytes bound one version.
	MaxResources     int
	MaxResourceBytes int
	// SettleTimeout bounds how long the store is read back after a lost answer.
	SettleTimeout time.Duration
	// MinimumPause and MaximumPause bound the pauses, with full jitter, between
	// attempts to read back.
	MinimumPause time.Duration
	MaximumPause time.Duration
	// Now returns the wall clock for the times shown to people; nothing is
	// decided by it. Nil means time.Now.
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

// VersionStore reads and writes versions. It may be used by several goroutines.
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
