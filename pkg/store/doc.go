// Package store defines the interface through which the platform's key-value
// service is used: compare-and-swap, transactions, sessions that lapse, and
// blocking reads. An adapter for each platform implements it.
package store
