package mesh

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_mesh")

// ErrPorts reports that no free ports were found, or that the store stand-in cannot listen on
// its port or be reached there.
var ErrPorts = errorsNamespace.NewType("ports")

// ErrNoNode reports an unknown node name.
var ErrNoNode = errorsNamespace.NewType("no_node")

// ErrWorker reports that a worker did not report where it listens.
var ErrWorker = errorsNamespace.NewType("worker")

// ErrCommand reports that the levertide command could not be run.
var ErrCommand = errorsNamespace.NewType("command")

// ErrCertificates reports that certificates could not be written.
var ErrCertificates = errorsNamespace.NewType("certificates")

// ErrMetrics reports that the metrics of a node could not be read.
var ErrMetrics = errorsNamespace.NewType("metrics")
