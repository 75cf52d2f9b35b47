package control

import "testing"

func TestVersionReachesEveryNode(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	m.startZones(6)
	m.eventually("every node knows every node", m.all(knows(12)))
	version := m.propose("first")
	m.eventually("every node runs the version", m.all(runs(version)))
	m.eventually("every node is ready", m.all(ready))
	second := m.propose("second")
	m.eventually("every node runs the second version", m.all(runs(second)))
}
