package hollow

import (
	"fmt"
	"sync"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

// maxViolations bounds the violations kept.
const maxViolations = 100

// truths knows what every version holds, and checks what nodes run against it.
type truths struct {
	mutex      sync.Mutex
	versions   map[uint64]map[model.Key]string
	violations []string
	checked    int
}

// newTruths returns a checker that knows no version.
func newTruths() *truths { return &truths{versions: make(map[uint64]map[model.Key]string)} }

// learn takes in what a version holds.
func (t *truths) learn(told Truth) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	base := t.versions[told.Base]
	holds := make(map[model.Key]string, len(base)+len(told.Set))
	for key, digest := range base {
		holds[key] = digest
	}
	for _, key := range told.Removed {
		delete(holds, key)
	}
	for _, entry := range told.Set {
		holds[entry.Key] = entry.Digest
	}
	t.versions[told.Version] = holds
}

// check compares the snapshot that a node runs with what its version holds.
func (t *truths) check(node string, running *snapshot.Snapshot) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.checked++
	holds, known := t.versions[running.Version()]
	if !known {
		t.fail(node, running, "nobody proposed it")
		return
	}
	for _, key := range running.Keys() {
		digest, _ := running.ResourceDigest(key)
		if digest.String() != holds[key] {
			t.fail(node, running, fmt.Sprintf("%s is not the one of this version", key))
		}
	}
	t.checkReferences(node, running)
}

// checkReferences checks that every route has its service and its secret.
func (t *truths) checkReferences(node string, running *snapshot.Snapshot) {
	for name, route := range running.Routes() {
		if _, ok := running.Service(route.Service); !ok {
			t.fail(node, running, fmt.Sprintf("route %s lacks service %s", name, route.Service))
		}
		if route.Credential == nil {
			continue
		}
		if _, ok := running.Secret(route.Credential.Secret); !ok {
			t.fail(node, running, fmt.Sprintf("route %s lacks its secret", name))
		}
	}
}

// fail notes a violation.
func (t *truths) fail(node string, running *snapshot.Snapshot, what string) {
	if len(t.violations) < maxViolations {
		t.violations = append(t.violations, fmt.Sprintf("%s: version %d: %s", node, running.Version(), what))
	}
}

// take returns the violations found since the last call, and how many
// snapshots were checked since the start.
func (t *truths) take() ([]string, int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	taken := t.violations
	t.violations = nil
	return taken, t.checked
}
