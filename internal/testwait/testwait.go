// Package testwait lets tests wait for conditions rather than for fixed times. Only
// tests import it.
package testwait

import (
	"testing"
	"time"
)

const (
	// waitLimit bounds a wait; conditions normally hold much sooner.
	waitLimit    = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// Eventually waits until a condition holds, and fails the test if it does not hold within
// waitLimit. what names the condition in the failure message.
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
