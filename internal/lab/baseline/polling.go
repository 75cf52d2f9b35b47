package baseline

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/store"
)

// PollInterval is how often each node asks the store for the head.
const PollInterval = time.Second

// Keys of the store in this baseline.
const (
	headKey     = "baseline/head"
	listPattern = "baseline/version/%d"
	itemPattern = "baseline/resource/%s"
)

// pollHead is the record that every node polls.
type pollHead struct {
	Version uint64 `json:"version"`
}

// listEntry names one resource of a version.
type listEntry struct {
	Kind   model.Kind `json:"kind"`
	Name   string     `json:"name"`
	Digest string     `json:"digest"`
}

// publisher writes versions to the store as the product does: each resource
// under its digest, a list for each version, and the head.
type publisher struct {
	store  store.Store
	source Source

	mutex   sync.Mutex
	version uint64
	// changed holds the keys of the resources that each version changed.
	changed map[uint64][]string
}

// Polling lets every node poll the store.
func Polling(ctx context.Context, options Options) (Result, error) {
	server := platform.New(platform.Config{})
	defer server.Close()
	address, err := server.Listen(options.Address)
	if err != nil {
		return Result{}, ErrBaseline.Wrap(err, "store stand-in")
	}
	client := consul.New(consul.Config{Address: "http://" + address, Client: "levertide-lab"})
	defer client.Close()
	writing := &publisher{store: client, source: options.Source, changed: make(map[uint64][]string)}
	run := newMeasured(options)
	ctx, cancel := context.WithCancel(ctx)
	running := run.onEachNode(func(index int, node Node) { run.poll(ctx, index, node, address, writing) })
	defer running.Wait()
	defer cancel()
	result, err := run.run(ctx, writing.next)
	counters := server.Counters()
	result.Requests = float64(counters.Total) / time.Since(counters.Since).Seconds()
	return result, err
}

// next writes the next version.
func (p *publisher) next(ctx context.Context) (uint64, time.Time, error) {
	whole, changed := p.source.Next()
	began := time.Now()
	var keys []string
	for _, resource := range changed {
		encoded, digest := model.Encode(resource)
		key := fmt.Sprintf(itemPattern, digest)
		keys = append(keys, key)
		if err := p.set(ctx, key, encoded); err != nil {
			return 0, began, err
		}
	}
	p.mutex.Lock()
	p.version++
	version := p.version
	p.changed[version] = keys
	p.mutex.Unlock()
	list, err := json.Marshal(listOf(whole))
	if err != nil {
		return 0, began, ErrBaseline.Wrap(err, "encode the list")
	}
	if err := p.set(ctx, fmt.Sprintf(listPattern, version), list); err != nil {
		return 0, began, err
	}
	head, err := json.Marshal(pollHead{Version: version})
	if err != nil {
		return 0, began, ErrBaseline.Wrap(err, "encode the head")
	}
	return version, began, p.set(ctx, headKey, head)
}

// listOf names every resource of a configuration.
func listOf(whole []model.Resource) []listEntry {
	entries := make([]listEntry, 0, len(whole))
	for _, resource := range whole {
		_, digest := model.Encode(resource)
		entries = append(entries, listEntry{resource.Key.Kind, resource.Key.Name, digest.String()})
	}
	return entries
}

// set writes one record.
func (p *publisher) set(ctx context.Context, key string, value []byte) error {
	return p.store.Transact(ctx, []store.Operation{{Verb: store.VerbSet, Key: key, Value: value}})
}

// keysBetween returns the keys of resources that changed after one version up
// to another. The first version is taken to hold only the changes, since
// fetching the whole base configuration is not measured.
func (p *publisher) keysBetween(before, now uint64) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var keys []string
	for version := max(before, 1) + 1; version <= now; version++ {
		keys = append(keys, p.changed[version]...)
	}
	return keys
}

// poll is one node: it polls the head and fetches what is new.
func (m *measured) poll(ctx context.Context, index int, node Node, address string, writing *publisher) {
	dialer := fabric.NewDialer(m.options.Links, node.Zone, fabric.Address(node.Zone, node.Host))
	client := consul.New(consul.Config{
		Address: "http://" + address,
		Client:  "baseline/" + node.ID,
		Dial:    m.traffic[index].Dial(dialer.DialContext),
	})
	defer client.Close()
	if !pause(ctx, rand.N(PollInterval)) {
		return
	}
	var version uint64
	for {
		if now, err := pollOnce(ctx, client, writing, version); err == nil && now > version {
			m.arrivals.note(version, now)
			version = now
		}
		if !pause(ctx, PollInterval) {
			return
		}
	}
}

// pollOnce asks for the head and fetches what is new.
func pollOnce(ctx context.Context, client store.Store, writing *publisher, version uint64) (uint64, error) {
	record, _, err := client.Get(ctx, headKey, store.ReadOptions{})
	if err != nil {
		return 0, err
	}
	var head pollHead
	if err := json.Unmarshal(record.Value, &head); err != nil {
		return 0, ErrBaseline.Wrap(err, "decode the head")
	}
	if head.Version <= version {
		return version, nil
	}
	keys := append([]string{fmt.Sprintf(listPattern, head.Version)}, writing.keysBetween(version, head.Version)...)
	for _, key := range keys {
		if _, _, err := client.Get(ctx, key, store.ReadOptions{}); err != nil {
			return 0, err
		}
	}
	return head.Version, nil
}
