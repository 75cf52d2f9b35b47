// Package connect reaches the platform's store and the nodes on behalf of
// levertide's commands.
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

// Environment variables that stand in for flags.
const (
	variableStore = "LEVERTIDE_STORE_ADDRESS"
	variableToken = "LEVERTIDE_STORE_TOKEN"
	variableNode  = "LEVERTIDE_NODE_ADDRESS"
	variableMesh  = "LEVERTIDE_MESH"
	variableCA    = "LEVERTIDE_TLS_CA"
	variableCert  = "LEVERTIDE_TLS_CERT"
	variableKey   = "LEVERTIDE_TLS_KEY"
)

// clientName names levertide to the platform.
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

// Store is a version store that has answered.
type Store struct {
	*versionstore.VersionStore
	// Head is the head that it answered with, read consistently.
	Head rollout.Head

	client *consul.Client
}

// Open asks one address after the other and returns the first that answers.
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

// Close drops the connections.
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

// Committed returns the whole committed version; of an empty store it is empty.
func (s *Store) Committed(ctx context.Context) (*snapshot.Snapshot, error) {
	return s.Version(ctx, s.Head.Committed, nil)
}

// Version returns one whole version, and takes from base what it holds already.
// Version zero is the empty one.
func (s *Store) Version(ctx context.Context, version rollout.Version, base *snapshot.Snapshot) (*snapshot.Snapshot, error) {
	if version == 0 {
		return snapshot.Empty(), nil
	}
	return s.LoadSnapshot(ctx, version, base)
}
