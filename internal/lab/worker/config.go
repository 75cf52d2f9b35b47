package worker

import (
	"math"
	"math/rand/v2"
	"time"
)

// Defaults of a worker's configuration.
const (
	DefaultSlots       = 6
	DefaultConnections = 130
	DefaultDrainDelay  = 2 * time.Second
	DefaultDrainBound  = 5 * time.Minute
)

// coldStartFactor multiplies the service time of a worker that has just started.
// The factor falls linearly to 1 over Config.ColdStart.
const coldStartFactor = 5

// Config describes one worker. A zero field takes its default.
type Config struct {
	// ID names the worker in its answers.
	ID string
	// Address and ControlAddress are host:port to listen on for requests and
	// for the lab's control; "127.0.0.1:0" when empty.
	Address        string
	ControlAddress string
	// Slots is how many requests it runs at once. Without a queue, further ones
	// are refused with the outcome not-run.
	Slots int
	// Queue is how many requests may wait for a slot before further ones are
	// refused. Back ends that queue without bound have a large one.
	Queue int
	// Connections is how many connections it accepts; further ones are closed.
	Connections int
	// Service is the distribution of the time that a request takes.
	Service Distribution
	// ColdStart is how long after its start the worker is slower than usual.
	ColdStart time.Duration
	// DrainDelay is how long a stopping worker refuses requests before it closes
	// its idle connections, so that no connection is closed while a request is in transit.
	DrainDelay time.Duration
	// Next, when set, is the base URL of a service that each request calls in
	// turn, with the path of the request; NextHost is the Host header of these calls.
	Next     string
	NextHost string
	// CutOnNextFailure closes the connection of a request whose next call failed,
	// so that every level of a chain sees an unknown outcome. Otherwise the
	// answer is a 502.
	CutOnNextFailure bool
	// ForgetRecords keeps only totals and no record of each execution, for long
	// runs that do not check executions.
	ForgetRecords bool
}

func (c Config) withDefaults() Config {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.ControlAddress == "" {
		c.ControlAddress = "127.0.0.1:0"
	}
	if c.Slots <= 0 {
		c.Slots = DefaultSlots
	}
	if c.Connections <= 0 {
		c.Connections = DefaultConnections
	}
	return c
}

// Distribution is a log-normal distribution of times. The zero value is always 0.
type Distribution struct {
	// Median is the time that half of the requests do not exceed.
	Median time.Duration
	// Sigma is the standard deviation of the time's logarithm; zero makes every
	// request take the median.
	Sigma float64
}

// Sample returns a random time.
func (d Distribution) Sample() time.Duration {
	if d.Median <= 0 || d.Sigma <= 0 {
		return max(d.Median, 0)
	}
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*rand.NormFloat64()))
}

// Mean returns the mean of the distribution.
func (d Distribution) Mean() time.Duration {
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*d.Sigma/2))
}
