// Package mesh runs one deployment of an experiment as real processes: a
// levertided beside each worker stand-in, gateways without a worker, and a
// stand-in for the store, with the network delays of the deployment between them.
package mesh
