// Package demo carries out experiments on deployments of real processes: it
// starts them, applies file sets with the operators' command, lets faults
// happen while calls run, and checks at the end what must always hold.
package demo
