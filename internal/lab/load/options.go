package load

import (
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
)

// Mode is one of the measurements.
type Mode string

// The modes.
const (
	// ModeSteady compares direct calls with calls through two nodes.
	ModeSteady Mode = "steady"
	// ModeOverload offers loads of up to three times the capacity of the workers.
	ModeOverload Mode = "overload"
	// ModeChain makes calls through a chain of six services of which the last one fails.
	ModeChain Mode = "chain"
	// ModeUpload sends larger and larger bodies and reads the memory of the nodes.
	ModeUpload Mode = "upload"
	// ModeRolling replaces every worker and node while calls go on.
	ModeRolling Mode = "rolling"
	// ModeFaults counts what callers see while workers fail in each way.
	ModeFaults Mode = "faults"
	// ModeCrash kills machines, one and then half of them at once.
	ModeCrash Mode = "crash"
)

var allModes = []Mode{ModeSteady, ModeOverload, ModeChain, ModeUpload, ModeRolling, ModeFaults, ModeCrash}

// Default values of Options.
const (
	DefaultDuration = 10 * time.Second
	DefaultRounds   = 5
	DefaultWorkers  = 7
	DefaultZones    = 4
	DefaultSlots    = 6
	DefaultSeed     = 1
)

// Options choose what is measured. Zero fields take their defaults.
type Options struct {
	// Modes are run in order; only ModeSteady when empty.
	Modes []Mode
	// Levertided is the path of the node's program; empty for data planes inside
	// the lab's process.
	Levertided string
	// Rates are the calls a second that one node takes in, one step of
	// ModeSteady for each.
	Rates []float64
	// Duration is the length of one step.
	Duration time.Duration
	// Rounds is how many parts a step of ModeSteady is measured in.
	Rounds int
	// Workers are spread over Zones; each has Slots and takes Service for a request.
	Workers, Zones, Slots int
	Service               worker.Distribution
	// UploadSizes are the bodies of ModeUpload, in bytes.
	UploadSizes []int64
	// Seed makes the start times of the calls reproducible.
	Seed uint64
	// Events receives the events of levertided processes, one a line; nil discards them.
	Events io.Writer
	// Progress receives a line for each step; nil discards them.
	Progress io.Writer
}

func (o Options) withDefaults() Options {
	if len(o.Modes) == 0 {
		o.Modes = []Mode{ModeSteady}
	}
	if len(o.Rates) == 0 {
		o.Rates = []float64{280, 2800}
	}
	if len(o.UploadSizes) == 0 {
		o.UploadSizes = []int64{1 << 20, 16 << 20, 128 << 20, 1 << 30}
	}
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Service.Median <= 0 {
		o.Service.Median = 2 * time.Millisecond
	}
	setDefault(&o.Rounds, DefaultRounds)
	setDefault(&o.Workers, DefaultWorkers)
	setDefault(&o.Zones, DefaultZones)
	setDefault(&o.Slots, DefaultSlots)
	if o.Seed == 0 {
		o.Seed = DefaultSeed
	}
	if o.Events == nil {
		o.Events = io.Discard
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}

// ParseModes reads a list of modes separated by commas; "all" stands for all.
func ParseModes(text string) ([]Mode, error) {
	if text == "all" {
		return slices.Clone(allModes), nil
	}
	var modes []Mode
	for part := range strings.SplitSeq(text, ",") {
		mode := Mode(strings.TrimSpace(part))
		if !slices.Contains(allModes, mode) {
			return nil, ErrOptions.New("unknown mode %q", mode)
		}
		modes = append(modes, mode)
	}
	return modes, nil
}

// ParseRates reads a list of positive numbers separated by commas.
func ParseRates(text string) ([]float64, error) {
	var rates []float64
	for part := range strings.SplitSeq(text, ",") {
		rate, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || !(rate > 0) || rate > 1e6 {
			return nil, ErrOptions.New("rate %q: expected a number above 0 and at most a million", part)
		}
		rates = append(rates, rate)
	}
	return rates, nil
}

// ParseSizes reads a list of sizes in megabytes separated by commas.
func ParseSizes(text string) ([]int64, error) {
	var sizes []int64
	for part := range strings.SplitSeq(text, ",") {
		megabytes, err := strconv.ParseUint(strings.TrimSpace(part), 10, 20)
		if err != nil || megabytes == 0 {
			return nil, ErrOptions.New("size %q: expected a whole number of megabytes above 0", part)
		}
		sizes = append(sizes, int64(megabytes)<<20)
	}
	return sizes, nil
}
