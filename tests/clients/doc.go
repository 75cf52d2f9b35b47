// Package clients holds tests of what clients can do to a node that do not keep to the limits of
// the operators: real processes on loopback addresses, each test with a crowd of its own.
//
// The tests check that the processes live, that their memory and descriptors stay under the bounds
// of their machines, and that an ordinary request is answered. They measure no times.
package clients
