// Package store is the narrow interface through which the platform's
// key-value service is used: compare-and-swap, transactions, sessions that
// lapse, and blocking reads. Adapters for one platform or another implement it.
package store
