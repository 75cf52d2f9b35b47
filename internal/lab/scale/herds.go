package scale

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/levertide/levertide/internal/control"
	"github.com/levertide/levertide/internal/lab/experiment"
	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/hollow"
	"github.com/levertide/levertide/internal/lab/platform"
)

// Times of herds.
const (
	deadTime      = 10 * time.Second
	cutTime       = 15 * time.Second
	outageTime    = 20 * time.Second
	afterTime     = 15 * time.Second
	leavePause    = time.Second
	recoveryBound = 90 * time.Second
	rackSize      = 20
	// replacedAtOnce is the share of a zone that a rolling replacement takes together.
	replacedAtOnce = 0.08
)

// herd lets one herd happen and waits until all nodes have recovered.
func (r *run) herd(ctx context.Context, kind experiment.Herd) {
	during := r.begin(string(kind))
	switch kind {
	case experiment.HerdRack:
		r.die(ctx, during, r.rack(0))
	case experiment.HerdZone:
		r.die(ctx, during, r.cluster.zoneMembers(r.zoneFor(1)))
	case experiment.HerdZoneRelays:
		r.die(ctx, during, r.relays(r.zoneFor(2)))
	case experiment.HerdRegionCut:
		r.cutRegion(ctx, during)
	case experiment.HerdStoreDown:
		r.storeDown(ctx, during)
	case experiment.HerdRollingReplacement:
		r.replaceAll(ctx, during)
	}
	r.changeUntil(ctx, during, time.Now().Add(afterTime))
	pause(ctx, sampleInterval+time.Second)
	r.finish(during)
}

// zoneFor picks a zone; different herds take different ones where there are several.
func (r *run) zoneFor(number int) int { return number % len(r.cluster.layout.zones) }

// members are nodes of one zone.
type members struct {
	zone   int
	hollow []hollow.NodeSpec
	real   []*realNode
}

// zoneMembers returns every node of a zone.
func (c *Cluster) zoneMembers(zone int) members {
	home := c.layout.zones[zone]
	selected := members{zone: zone, hollow: home.hollow}
	for _, node := range c.real {
		if node.spec.Zone == home.name {
			selected.real = append(selected.real, node)
		}
	}
	return selected
}

// rack returns some neighbouring nodes of a zone.
func (r *run) rack(zone int) members {
	all := r.cluster.zoneMembers(zone)
	all.hollow = all.hollow[:min(rackSize, len(all.hollow))]
	all.real = nil
	return all
}

// relays returns the nodes of a zone that have a role above leaf now.
func (r *run) relays(zone int) members {
	all := r.cluster.zoneMembers(zone)
	isLeaf := func(node string) bool { return r.cluster.measured.roleOf(node) == control.RoleLeaf }
	all.hollow = slices.DeleteFunc(slices.Clone(all.hollow), func(spec hollow.NodeSpec) bool { return isLeaf(spec.ID) })
	all.real = slices.DeleteFunc(slices.Clone(all.real), func(node *realNode) bool { return isLeaf(node.spec.ID) })
	return all
}

// names returns the identifiers of the members.
func (m members) names() []string {
	names := namesOf(m.hollow)
	for _, node := range m.real {
		names = append(names, node.spec.ID)
	}
	return names
}

// affect notes which nodes a phase hits.
func (p *phase) affect(names []string) {
	for _, name := range names {
		p.affected[name] = struct{}{}
	}
}

// die lets nodes crash together and start together again, with changes all along.
func (r *run) die(ctx context.Context, during *phase, hit members) {
	during.affect(hit.names())
	r.progress.say("%d nodes of %s crash", len(hit.names()), r.cluster.layout.zones[hit.zone].name)
	r.report(r.cluster.kill(hit))
	r.changeUntil(ctx, during, time.Now().Add(deadTime))
	r.progress.say("%d nodes start at once", len(hit.names()))
	during.healed = time.Now()
	r.report(r.cluster.start(hit))
	r.awaitRecovery(ctx, during, hit.names(), during.healed)
}

// report prints an error of the lab itself.
func (r *run) report(err error) {
	if err != nil {
		r.progress.say("the lab failed: %v", err)
	}
}

// kill crashes nodes all together.
func (c *Cluster) kill(hit members) error {
	var killing errgroup.Group
	killing.Go(func() error {
		_, err := c.children[hit.zone].ask(hollow.Request{Kill: &hollow.Kill{Nodes: namesOf(hit.hollow)}})
		return err
	})
	for _, node := range hit.real {
		killing.Go(func() error {
			node.kill()
			return nil
		})
	}
	return killing.Wait()
}

// start starts nodes all together.
func (c *Cluster) start(hit members) error {
	var starting errgroup.Group
	starting.Go(func() error { return c.startHollow(hit.zone, hit.hollow, 0) })
	for _, node := range hit.real {
		starting.Go(node.start)
	}
	return starting.Wait()
}

// awaitRecovery waits until nodes have put the newest version in force since a moment.
func (r *run) awaitRecovery(ctx context.Context, during *phase, names []string, since time.Time) {
	deadline := time.Now().Add(recoveryBound)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		committed := r.cluster.committedVersions()
		reached := r.cluster.recorder.TimesInForce(committed[len(committed)-1], since, names)
		if len(reached) == len(names) {
			for _, at := range reached {
				if at.After(during.recovered) {
					during.recovered = at
				}
			}
			r.progress.say("all %d nodes run version %d again %.1f s later", len(names),
				committed[len(committed)-1], during.recovered.Sub(since).Seconds())
			return
		}
		pause(ctx, commitPoll)
	}
	during.note = "not all nodes recovered within " + recoveryBound.String()
	r.progress.say("phase %s: %s", during.name, during.note)
}

// cutRegion cuts the last region off from all others and from the store.
func (r *run) cutRegion(ctx context.Context, during *phase) {
	zones := r.cluster.layout.zones
	region := zones[len(zones)-1].region
	var pairs []hollow.ZonePair
	for i, home := range zones {
		if home.region != region {
			continue
		}
		during.affect(r.cluster.zoneMembers(i).names())
		pairs = append(pairs, hollow.ZonePair{A: home.number, B: fabric.ZonePlatform})
		for _, other := range zones {
			if other.region != region {
				pairs = append(pairs, hollow.ZonePair{A: home.number, B: other.number})
			}
		}
	}
	r.progress.say("region %s with %d nodes is cut off", region, len(during.affected))
	for _, pair := range pairs {
		r.cluster.links.Cut(pair.A, pair.B)
	}
	r.report(r.cluster.tellAll(hollow.Request{Cut: &hollow.Cut{Pairs: pairs}}))
	r.changeUntil(ctx, during, time.Now().Add(cutTime))
	r.cluster.links.HealAll()
	r.report(r.cluster.tellAll(hollow.Request{Heal: &hollow.Heal{}}))
	during.healed = time.Now()
	r.progress.say("the cut has healed")
	r.awaitRecovery(ctx, during, affectedNames(during), during.started)
}

// affectedNames returns the nodes that a phase hits.
func affectedNames(during *phase) []string {
	var names []string
	for name := range during.affected {
		names = append(names, name)
	}
	return names
}

// storeDown makes the store refuse connections while a rack crashes and starts.
func (r *run) storeDown(ctx context.Context, during *phase) {
	hit := r.rack(r.zoneFor(3))
	during.affect(hit.names())
	r.progress.say("the store is down")
	r.cluster.storeRelay.CloseListener()
	r.cluster.store.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	down := time.Now()
	pause(ctx, outageTime/4)
	r.progress.say("%d nodes of %s crash and start while the store is down", len(hit.hollow), r.cluster.layout.zones[hit.zone].name)
	r.report(r.cluster.kill(hit))
	pause(ctx, outageTime/4)
	during.healed = time.Now()
	r.report(r.cluster.start(hit))
	r.awaitRecovery(ctx, during, hit.names(), during.healed)
	during.note = "recovery is of nodes that started while the store was down"
	pause(ctx, time.Until(down.Add(outageTime)))
	r.cluster.store.SetFaults(platform.Faults{})
	r.report(r.cluster.storeRelay.Open())
	r.progress.say("the store is up again")
}

// replaceAll replaces every node, some of each zone at a time, with changes all along.
func (r *run) replaceAll(ctx context.Context, during *phase) {
	during.affect(r.cluster.names())
	var over atomic.Bool
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		r.changeWhile(ctx, during, func() bool { return !over.Load() })
	}()
	var replacing errgroup.Group
	for zone := range r.cluster.layout.zones {
		replacing.Go(func() error { return r.replaceZone(ctx, zone) })
	}
	r.report(replacing.Wait())
	over.Store(true)
	<-changed
	during.healed = time.Now()
	r.progress.say("every node has been replaced")
	r.awaitRecovery(ctx, during, r.cluster.names(), during.started)
}

// replaceZone replaces the nodes of one zone in batches.
func (r *run) replaceZone(ctx context.Context, zone int) error {
	all := r.cluster.zoneMembers(zone)
	batch := max(int(float64(len(all.hollow))*replacedAtOnce), 1)
	for nodes := range slices.Chunk(all.hollow, batch) {
		if ctx.Err() != nil {
			return nil
		}
		leave := &hollow.Leave{Nodes: namesOf(nodes), After: leavePause}
		if _, err := r.cluster.children[zone].ask(hollow.Request{Leave: leave}); err != nil {
			return err
		}
		if err := r.cluster.startHollow(zone, nodes, 0); err != nil {
			return err
		}
	}
	for _, node := range all.real {
		node.leave()
		if err := node.start(); err != nil {
			return err
		}
	}
	return nil
}
