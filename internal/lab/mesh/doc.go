// Package mesh runs one deployment of an experiment as real processes: a
// levertided beside each worker stand-in, gateways without one, and the store
// stand-in, with the network delays of the deployment between them.
package mesh
