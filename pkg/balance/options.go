package balance

import (
	"math/rand/v2"
	"time"
)

// Default values of Options.
const (
	DefaultLoadHalfLife       = 500 * time.Millisecond
	DefaultSpillStart         = 0.6
	DefaultSpillFull          = 0.95
	DefaultSpillBusy          = 0.75
	DefaultFailuresToEject    = 3
	DefaultEjectionTime       = 2 * time.Second
	DefaultMaximumEjection    = 60 * time.Second
	DefaultEjectedFraction    = 0.5
	DefaultPanicFraction      = 0.3
	DefaultDrainHold          = 10 * time.Second
	DefaultFailureRate        = 0.5
	DefaultSlowStart          = 10 * time.Second
	DefaultSlowStartFloor     = 0.1
	DefaultFailureRateSamples = 20
)

// Options configure a Balancer. A zero field takes its default.
type Options struct {
	// Zone and Region are the caller's own.
	Zone   string
	Region string
	// SlowStart is the time in which an endpoint that has just started, or whose
	// ejection has ended, reaches its full share. Negative disables slow start.
	SlowStart time.Duration
	// SlowStartFloor is the share, from 0 to 1, at the beginning of slow start.
	SlowStartFloor float64
	// LoadHalfLife is the time after which a reported load counts for half.
	LoadHalfLife time.Duration
	// SpillStart is the mean load, from 0 to 1, of the nearer endpoints at which
	// some requests begin to go to a farther tier; at SpillFull all do, unless the
	// endpoints there are busier.
	SpillStart, SpillFull float64
	// SpillBusy is the load of the chosen endpoint from which a request goes to a
	// farther tier if a less loaded one is found there. The default is the load at
	// which an admission gate has no free slot, so that the request would wait.
	SpillBusy float64
	// FailuresToEject is the number of failures in a row after which an endpoint
	// is ejected.
	FailuresToEject int
	// FailureRate is the moving average of the share of failures, from 0 to 1,
	// above which an endpoint is ejected once it has had FailureRateSamples
	// results.
	FailureRate        float64
	FailureRateSamples int
	// EjectionTime is the length of the first ejection; each further one takes
	// twice as long, up to MaximumEjection.
	EjectionTime, MaximumEjection time.Duration
	// EjectedFraction bounds the part of the endpoints that may be ejected at one
	// time. Of two or more, one may always be ejected.
	EjectedFraction float64
	// PanicFraction is the part of the endpoints that must be usable; below it,
	// ejections are ignored.
	PanicFraction float64
	// DrainHold is how long an endpoint that reported that it drains gets no
	// requests before it is tried again.
	DrainHold time.Duration
	// Now is the clock; time.Now when nil.
	Now func() time.Time
	// Random is the source of random numbers; calls to it are serialized. When
	// nil the top-level source of math/rand/v2 is used.
	Random rand.Source
}

func (o Options) withDefaults() Options {
	defaultTo(&o.SlowStart, DefaultSlowStart)
	defaultTo(&o.SlowStartFloor, DefaultSlowStartFloor)
	defaultTo(&o.LoadHalfLife, DefaultLoadHalfLife)
	defaultTo(&o.SpillStart, DefaultSpillStart)
	defaultTo(&o.SpillFull, DefaultSpillFull)
	defaultTo(&o.SpillBusy, DefaultSpillBusy)
	defaultTo(&o.FailuresToEject, DefaultFailuresToEject)
	defaultTo(&o.FailureRate, DefaultFailureRate)
	defaultTo(&o.FailureRateSamples, DefaultFailureRateSamples)
	defaultTo(&o.EjectionTime, DefaultEjectionTime)
	defaultTo(&o.MaximumEjection, DefaultMaximumEjection)
	defaultTo(&o.EjectedFraction, DefaultEjectedFraction)
	defaultTo(&o.PanicFraction, DefaultPanicFraction)
	defaultTo(&o.DrainHold, DefaultDrainHold)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
