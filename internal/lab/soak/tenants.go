package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/workers"
)

const (
	// statusUnauthenticated is the status that a caller gets whose key no tenant holds.
	statusUnauthenticated = http.StatusUnauthorized
	// unknownCallerPrefix begins the ids of requests from unknown callers, whose key is in no
	// version.
	unknownCallerPrefix = "stranger-"
	unknownKey          = "key-of-nobody"
	// unknownCallerShare is the share of the requests that come from unknown callers, and
	// nestedShare the share of the runs in which a worker calls another one.
	unknownCallerShare = 0.05
	nestedShare        = 0.1
	nestedSuffix       = "/nested"
)

// tenantNames are the tenants of all versions. The first one has an additional key in each
// version, which is valid in that version only.
var tenantNames = []string{"acme", "zenith"}

func lastingKey(tenant string) string { return "key-of-" + tenant }

func versionKey(version uint64) string { return fmt.Sprintf("key-of-version-%d", version) }

func tenantsOf(version uint64) []model.Resource {
	resources := make([]model.Resource, 0, len(tenantNames))
	for rank, name := range tenantNames {
		tenant := &model.Tenant{Keys: []model.KeyDigest{model.DigestKey(lastingKey(name))}, Rank: rank}
		if rank == 0 {
			tenant.Keys = append(tenant.Keys, model.DigestKey(versionKey(version)))
		}
		resources = append(resources, model.Resource{Key: model.Key{Kind: model.KindTenant, Name: name}, Tenant: tenant})
	}
	return resources
}

// tenantOf returns the tenant that sends the requests for a path. Identical requests come
// from one tenant, and the nested calls of workers for them belong to that tenant, too.
func tenantOf(path string) string {
	if strings.HasPrefix(path, "/version-") {
		return tenantNames[0]
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(strings.TrimSuffix(path, nestedSuffix)))
	return tenantNames[hash.Sum32()%uint32(len(tenantNames))]
}

// keyOf returns the key that the caller of a request presents; workers present none.
func keyOf(path, id string) string {
	switch {
	case strings.HasPrefix(id, unknownCallerPrefix):
		return unknownKey
	case strings.HasSuffix(path, nestedSuffix):
		return ""
	default:
		return lastingKey(tenantOf(path))
	}
}

// checkTenant checks which tenant and key a worker is shown for a request: the caller's
// tenant, not the forged one that the caller sent, and no key.
func (w *worker) checkTenant(r *http.Request) {
	id, reported := r.Header.Get(dialect.RequestID), r.Header[dialect.Tenant]
	if strings.HasPrefix(id, unknownCallerPrefix) {
		w.ledger.fail("worker %s ran request %s, whose key no version has held", w.incarnation, id)
	}
	if !slices.Equal(reported, []string{tenantOf(r.URL.Path)}) {
		w.ledger.fail("worker %s was told that request %s is of %q, and it is of %s", w.incarnation, id, reported, tenantOf(r.URL.Path))
	}
	if len(r.Header[dialect.Key.Header]) > 0 {
		w.ledger.fail("worker %s was given the key of request %s", w.incarnation, id)
	}
}

// nestedID returns the id of a call that a worker makes in a run for the given parent. It names the
// worker: a parent may run at two workers, as the same one in the count of each.
func nestedID(parent string, incarnation workers.Incarnation, run uint64) string {
	return fmt.Sprintf("%s/%s-%d", parent, incarnation, run)
}

// callNested has the worker call another one for the request that it runs, through the node
// beside it. The call needs no key of its own while its parent request runs.
func (w *worker) callNested(ctx context.Context, m *machine, r *http.Request) {
	began := time.Now()
	id := nestedID(r.Header.Get(dialect.RequestID), w.incarnation, w.runs.Load())
	w.ledger.recordCall(id, isRepeatable(r.URL.Path))
	status, body, err := send(ctx, w.client, m, http.MethodGet, r.URL.Path+nestedSuffix, id)
	if err != nil {
		status = 0
	}
	if status == statusUnauthenticated && time.Since(began) < callBound/2 {
		w.ledger.fail("%s asked worker %s for a key for request %s, whose parent it runs", m.id, w.incarnation, id)
		return
	}
	w.ledger.recordOutcome(id, status, body)
}

// acceptsOnlyCurrentKey reports whether a machine accepts the key of a version and refuses
// that of the version before it.
func (s *soak) acceptsOnlyCurrentKey(m *machine, version uint64) bool {
	statusWithKey := func(key string) int {
		id := fmt.Sprintf("key-%s-%d", m.id, s.checks.Add(1))
		s.ledger.recordCall(id, true)
		status, _, err := sendWith(context.Background(), s.probe, m, http.MethodGet, versionPrefix(version), id, key)
		if err != nil {
			return 0
		}
		return status
	}
	return statusWithKey(versionKey(version)) == statusServed && statusWithKey(versionKey(version-1)) == statusUnauthenticated
}
