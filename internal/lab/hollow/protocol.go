package hollow

import (
	"time"

	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/pkg/model"
)

// Request is one request to the process. Exactly one action is set.
type Request struct {
	Setup  *Setup  `json:"setup,omitempty"`
	Start  *Start  `json:"start,omitempty"`
	Kill   *Kill   `json:"kill,omitempty"`
	Leave  *Leave  `json:"leave,omitempty"`
	Cut    *Cut    `json:"cut,omitempty"`
	Heal   *Heal   `json:"heal,omitempty"`
	Truth  *Truth  `json:"truth,omitempty"`
	Sample *Sample `json:"sample,omitempty"`
}

// Reply answers a command.
type Reply struct {
	// Error is empty when the command was carried out.
	Error  string  `json:"error,omitempty"`
	Sample *Series `json:"sample,omitempty"`
}

// ZoneDelay is the one-way delay between two zones in both directions.
type ZoneDelay struct {
	A     fabric.ZoneNumber `json:"a"`
	B     fabric.ZoneNumber `json:"b"`
	Delay time.Duration     `json:"delay"`
}

// Setup comes first and describes what all nodes have in common.
type Setup struct {
	// StoreAddress is IP:port of the store, without a relay in front of it.
	StoreAddress string      `json:"storeAddress"`
	Delays       []ZoneDelay `json:"delays"`
}

// NodeSpec describes one node.
type NodeSpec struct {
	ID       string            `json:"id"`
	Region   string            `json:"region"`
	Zone     string            `json:"zone"`
	Service  string            `json:"service"`
	Number   fabric.ZoneNumber `json:"number"`
	Host     uint8             `json:"host"`
	Port     int               `json:"port"`
	Seeds    []string          `json:"seeds"`
	StartGap time.Duration     `json:"startGap"`
}

// Start starts nodes; a node that ran before starts again under a new incarnation.
type Start struct {
	Nodes []NodeSpec `json:"nodes"`
}

// Kill ends nodes as a crash does.
type Kill struct {
	Nodes []string `json:"nodes"`
}

// Leave marks nodes as leaving and ends them after the pause, as a planned stop does.
type Leave struct {
	Nodes []string      `json:"nodes"`
	After time.Duration `json:"after"`
}

// Cut holds back everything between pairs of zones.
type Cut struct {
	Pairs []ZonePair `json:"pairs"`
}

// ZonePair is two zones.
type ZonePair struct {
	A fabric.ZoneNumber `json:"a"`
	B fabric.ZoneNumber `json:"b"`
}

// Heal ends every cut.
type Heal struct{}

// Truth tells what a version holds, as a difference from the version before
// it, so that nodes can be checked against it.
type Truth struct {
	Version uint64       `json:"version"`
	Base    uint64       `json:"base"`
	Set     []TruthEntry `json:"set"`
	Removed []model.Key  `json:"removed"`
}

// TruthEntry is one resource of a version.
type TruthEntry struct {
	Key    model.Key `json:"key"`
	Digest string    `json:"digest"`
}

// Sample asks for what was measured since the last Sample.
type Sample struct{}

// Series is what was measured in each second since the last Sample.
type Series struct {
	// Start is the wall clock of the first second.
	Start      time.Time    `json:"start"`
	Nodes      []NodeSeries `json:"nodes"`
	Violations []string     `json:"violations"`
	// Checked is how many snapshots were checked since the start.
	Checked int `json:"checked"`
}

// NodeSeries holds one node's control bytes, both directions, of each second,
// and the number of its role at the end of the second, as in control.Role, or
// RoleDead.
type NodeSeries struct {
	ID     string   `json:"id"`
	Bytes  []uint32 `json:"bytes"`
	Roles  Roles    `json:"roles"`
	Alive  bool     `json:"alive"`
	Ready  bool     `json:"ready"`
	Reason string   `json:"reason,omitempty"`
	// InForce is the version in force, and Parent the parent, at the end.
	InForce uint64 `json:"inForce"`
	Parent  string `json:"parent,omitempty"`
}

// Roles is a list of numbers of roles. Unlike []uint8 it is shown as numbers in JSON.
type Roles []uint16
