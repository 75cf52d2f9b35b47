package sidecar

import (
	"strconv"
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/testaddress"
)

// TestNodeThatOthersCannotReachDoesNotStart guards against a node that runs unknown to all others, whose
// records of it name no node, and against a message that does not say why.
func TestNodeThatOthersCannotReachDoesNotStart(t *testing.T) {
	const good = "192.0.2.1:1"
	for _, text := range testaddress.Odd {
		for _, given := range []settings.Settings{{ControlAddress: text, CallAddress: good}, {ControlAddress: good, CallAddress: text}} {
			_, err := (&Node{settings: given}).initialRecord()
			if !errorx.IsOfType(err, ErrStart) || !strings.Contains(err.Error(), strconv.Quote(text[:min(len(text), 64)])) {
				t.Errorf("%q: %v", text, err)
			}
		}
	}
	if n, err := (&Node{settings: settings.Settings{ControlAddress: good, CallAddress: good}}).initialRecord(); err != nil || !n.CallAddress.IsValid() {
		t.Errorf("%+v, %v", n, err)
	}
}
