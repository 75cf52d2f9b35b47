// Package testwait lets tests wait for conditions in place of lengths of time.
// Only tests import it.
package testwait

import (
	"testing"
	"time"
)

const (
	// waitLimit bounds a wait; what is waited for comes much sooner.
	waitLimit    = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// Eventually waits until a condition holds, and fails the test when it does not.
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", waitLimit, what)
		}
		time.Sleep(pollInterval)
	}
}
