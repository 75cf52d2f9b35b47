// Package connect connects levertide's commands to the platform's store and to nodes.
package connect

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/versionstore"
)

// Environment variables that give the defaults of flags, and the store's token.
const (
	variableStore = "LEVERTIDE_STORE_ADDRESS"
	variableToken = "LEVERTIDE_STORE_TOKEN"
	variableNode  = "LEVERTIDE_NODE_ADDRESS"
	variableMesh  = "LEVERTIDE_MESH"
	variableCA    = "LEVERTIDE_TLS_CA"
	variableCert  = "LEVERTIDE_TLS_CERT"
	variableKey   = "LEVERTIDE_TLS_KEY"
)

// clientName identifies levertide to the platform.
const clientName = "levertide"

// StoreFlags holds the addresses of the store.
type StoreFlags struct{ addresses string }

// Register adds the --store flag.
func (s *StoreFlags) Register(flags *flag.FlagSet) {
	flags.StringVar(&s.addresses, "store", os.Getenv(variableStore),
		"`addresses` of the platform's store, comma-separated; the first that answers is used ($"+variableStore+")")
}

// Check returns a usage error unless the addresses can be used.
func (s *StoreFlags) Check() error {
	addresses := split(s.addresses)
	if len(addresses) == 0 {
		return exit.UsageError("name the platform's store with --store or $" + variableStore)
	}
	for _, address := range addresses {
		parsed, err := url.Parse(withScheme(address))
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return exit.UsageError(fmt.Sprintf("--store: %q is not an address such as 127.0.0.1:8500 or https://127.0.0.1:8501", address))
		}
	}
	return nil
}

// Store is the version store at the first address that has answered.
type Store struct {
	*versionstore.VersionStore
	// Head is the head that was read, consistently, when the store was opened.
	Head rollout.Head

	client *consul.Client
}

// Open tries one address after the other and returns the first store that answers.
func (s *StoreFlags) Open(ctx context.Context) (*Store, error) {
	var last error
	for _, address := range split(s.addresses) {
		client := consul.New(consul.Config{Address: withScheme(address), Token: os.Getenv(variableToken), Client: clientName})
		versions := versionstore.New(versionstore.Config{Store: client})
		head, _, err := versions.ReadHead(ctx, true)
		if err == nil {
			return &Store{VersionStore: versions, Head: head, client: client}, nil
		}
		client.Close()
		last = err
	}
	return nil, last
}

// Close closes the idle connections.
func (s *Store) Close() { s.client.Close() }

func split(list string) []string {
	var items []string
	for item := range strings.SplitSeq(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func withScheme(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

// Committed returns the complete committed version, or the empty one if the store holds none.
func (s *Store) Committed(ctx context.Context) (*snapshot.Snapshot, error) {
	return s.Version(ctx, s.Head.Committed, nil)
}

// Version returns one complete version; resources that base already holds are taken
// from it. Version zero is empty.
func (s *Store) Version(ctx context.Context, version rollout.Version, base *snapshot.Snapshot) (*snapshot.Snapshot, error) {
	if version == 0 {
		return snapshot.Empty(), nil
	}
	return s.LoadSnapshot(ctx, version, base)
}
