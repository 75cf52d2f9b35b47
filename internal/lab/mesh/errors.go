package mesh

import "github.com/joomcode/errorx"

// errorsNamespace holds the error types of this package.
var errorsNamespace = errorx.NewNamespace("lab_mesh")

// ErrPorts tells that no free ports were found.
var ErrPorts = errorsNamespace.NewType("ports")

// ErrNoNode tells that a node's name is not known.
var ErrNoNode = errorsNamespace.NewType("no_node")

// ErrWorker tells that a worker did not say where it listens.
var ErrWorker = errorsNamespace.NewType("worker")

// ErrCommand tells that the levertide command could not be run or understood.
var ErrCommand = errorsNamespace.NewType("command")

// ErrCertificates tells that certificates could not be written.
var ErrCertificates = errorsNamespace.NewType("certificates")

// ErrMetrics tells that the metrics of a node could not be read.
var ErrMetrics = errorsNamespace.NewType("metrics")
