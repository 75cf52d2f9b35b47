// Package testaddress has the texts that no reader of addresses may take. Only tests import it.
package testaddress

import "strings"

// Odd are texts that are no address of another process.
var Odd = []string{
	"", "127.0.0.1", ":8080", "127.0.0.1:", "127.0.0.1 :8080", " 127.0.0.1:8080", "[127.0.0.1:8080", "[127.0.0.1]:8080",
	"http://127.0.0.1:8080/", "127.0.0.1:http", "::1:8080", "0.1:8080", "127.0..1:8080", "127.0.0.1:-1", "127.0.0.1:65536",
	"127.0.0.1:123456789012", "127.0.0.1:0", "[::%réseau]:8080", "[fe80::1%eth0]:8080", "[::1]", "localhost:8080", "0x7f.1:8080",
	"127.0.0.1:8080/path", "127.0.0.1:8080\x00", "0.0.0.0:8080", "[::]:8080", "[::ffff:0.0.0.0]:8080", "224.0.0.1:8080",
	"127.0.0.01:8080", "127.0.0.1:+80", "127.0.0.1:8 0", strings.Repeat("9", 1000) + ":1",
}
