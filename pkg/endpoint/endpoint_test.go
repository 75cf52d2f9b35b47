package endpoint_test

import (
	"strings"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/endpoint"
)

// TestAddressThatNobodyListensAtIsRefused guards against addresses of other programs that are taken, and
// then cannot be connected to.
func TestAddressThatNobodyListensAtIsRefused(t *testing.T) {
	for _, text := range []string{
		"", "127.0.0.1", ":8080", "127.0.0.1:", "127.0.0.1 :8080", " 127.0.0.1:8080", "[127.0.0.1:8080", "[127.0.0.1]:8080",
		"http://127.0.0.1:8080/", "127.0.0.1:http", "::1:8080", "0.1:8080", "127.0..1:8080", "127.0.0.1:-1", "127.0.0.1:65536",
		"127.0.0.1:123456789012", "127.0.0.1:0", "[::%réseau]:8080", "[fe80::1%eth0]:8080", "[::1]", "localhost:8080", "0x7f.1:8080",
		"127.0.0.1:8080/path", "127.0.0.1:8080\x00", "0.0.0.0:8080", "[::]:8080", "[::ffff:0.0.0.0]:8080", "224.0.0.1:8080",
		"127.0.0.01:8080", "127.0.0.1:+80", "127.0.0.1:8 0", strings.Repeat("9", 1000) + ":1",
	} {
		address, err := endpoint.Parse(text)
		if !errorx.IsOfType(err, endpoint.ErrInvalid) || address.IsValid() {
			t.Errorf("%q: %v, %v", text, address, err)
		}
		if err != nil && len(err.Error()) > 300 {
			t.Errorf("%q: an error of %d bytes", text[:10], len(err.Error()))
		}
	}
}

func TestAddressesAreCompared(t *testing.T) {
	for text, want := range map[string]string{
		"127.0.0.1:8080": "127.0.0.1:8080", "[::ffff:127.0.0.1]:8080": "127.0.0.1:8080", "[2001:db8:0::1]:1": "[2001:db8::1]:1",
	} {
		address, err := endpoint.Parse(text)
		if err != nil || endpoint.String(address) != want {
			t.Errorf("%q: %v, %v", text, address, err)
		}
	}
}
