package connect

import (
	"strings"
	"testing"

	"github.com/levertide/levertide/internal/testaddress"
)

// TestOddAddressesOfNodesAreNamed guards against a command that waits for nodes that nobody can reach.
func TestOddAddressesOfNodesAreNamed(t *testing.T) {
	for _, text := range testaddress.Odd {
		if text != strings.TrimSpace(text) || text == "" {
			continue // Not given, or blanks between the items of the list.
		}
		flags := NodeFlags{addresses: "127.0.0.1:7000," + text}
		if err := flags.Check(); err == nil || !strings.Contains(err.Error(), "want an IP address and a port") {
			t.Errorf("%q: %v", text, err)
		}
	}
	if err := (&NodeFlags{addresses: "127.0.0.1:7000,[::1]:7000"}).Check(); err != nil {
		t.Error(err)
	}
}
