// Package uploads holds a test of answers that their worker breaks off while the request behind them is
// still being sent, with real processes on loopback addresses.
package uploads
