package experiment

import "time"

// File is one experiment.
type File struct {
	// Name identifies the experiment in reports.
	Name string `yaml:"name" validate:"required"`
	// Seed determines every random choice of the lab.
	Seed uint64 `yaml:"seed"`
	// Deployment runs real processes.
	Deployment *Deployment `yaml:"deployment" validate:"required"`
	// FileSet lists directories, relative to the experiment file, that are
	// applied as one set before the timeline starts.
	FileSet []string `yaml:"fileSet"`
	// Load describes the calls made to the mesh; nil means none.
	Load *Load `yaml:"load" validate:"omitempty"`
	// Timeline lists changes and faults in the order in which they happen.
	Timeline []Event `yaml:"timeline" validate:"dive"`
	// Duration is how long calls are made after the timeline has started.
	Duration time.Duration `yaml:"duration" validate:"min=0"`

	// directory is where the file was read from.
	directory string
}

// Deployment is a mesh of real processes: a node beside each worker.
type Deployment struct {
	Region string   `yaml:"region" validate:"required"`
	Zones  []string `yaml:"zones" validate:"required,min=1,max=50,unique,dive,required"`
	// ZoneDelay, ClientDelay and StoreDelay are one-way delays between zones,
	// from callers to every zone, and from every zone to the store.
	ZoneDelay   time.Duration `yaml:"zoneDelay" validate:"min=0,max=1000000000"`
	ClientDelay time.Duration `yaml:"clientDelay" validate:"min=0,max=1000000000"`
	StoreDelay  time.Duration `yaml:"storeDelay" validate:"min=0,max=1000000000"`
	// Services lists the workers of each service.
	Services []Workers `yaml:"services" validate:"required,min=1,unique=Name,dive"`
	// Gateways is the number of nodes without a worker, which accept calls as well.
	Gateways int `yaml:"gateways" validate:"min=0,max=16"`
	// TLS makes nodes use mutual TLS among themselves, with certificates that
	// the lab issues for the run.
	TLS bool `yaml:"tls"`
	// Worker describes each worker.
	Worker Worker `yaml:"worker"`
}

// Workers is the number of workers of a service.
type Workers struct {
	Name    string `yaml:"name" validate:"required"`
	Workers int    `yaml:"workers" validate:"min=1,max=100"`
}

// Worker describes one worker.
type Worker struct {
	Slots       int `yaml:"slots" validate:"min=1,max=1000"`
	Connections int `yaml:"connections" validate:"min=1,max=100000"`
	// ConnectionDelay is how long a worker takes to accept a connection, and
	// ProbeDelay how long it takes to answer a probe.
	ConnectionDelay time.Duration `yaml:"connectionDelay" validate:"min=0"`
	ProbeDelay      time.Duration `yaml:"probeDelay" validate:"min=0"`
}

// Load describes the calls made to a deployment.
type Load struct {
	// CallsPerSecond is the rate over all kinds of call together.
	CallsPerSecond float64 `yaml:"callsPerSecond" validate:"gt=0,max=10000"`
	// Calls lists the kinds of call.
	Calls []Call `yaml:"calls" validate:"required,min=1,dive"`
}

// Call is one kind of call.
type Call struct {
	Host   string `yaml:"host" validate:"required"`
	Path   string `yaml:"path" validate:"required,startswith=/"`
	Method string `yaml:"method" validate:"oneof=GET HEAD POST PUT"`
	// Share is the call's part of the rate, relative to the other shares.
	Share int `yaml:"share" validate:"min=1,max=1000"`
	// Body is the size of the request body in bytes.
	Body int `yaml:"body" validate:"min=0,max=67108864"`
	// Repeatable allows workers to execute the call more than once.
	Repeatable bool `yaml:"repeatable"`
	// Through lists services whose nodes accept the call besides gateways: the
	// route's own service and services that call it, since other nodes do not
	// hold the route.
	Through []string `yaml:"through"`
	// After names the step of the timeline that adds the call's route;
	// the call is made only after that step. Empty means from the start.
	After string `yaml:"after"`
	// Until names the step that removes the call's route.
	Until string `yaml:"until"`
}
