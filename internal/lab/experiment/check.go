package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// problems lists mistakes in an experiment file that concern several fields together.
type problems []string

// add adds a mistake.
func (p *problems) add(format string, arguments ...any) {
	*p = append(*p, fmt.Sprintf(format, arguments...))
}

// String returns one mistake on each line.
func (p problems) String() string { return strings.Join(p, "\n") }

// check returns the mistakes that the validation of single fields cannot find.
func (f *File) check() problems {
	var found problems
	if len(f.FileSet) == 0 {
		found.add("fileSet: a deployment needs at least one directory")
	}
	f.checkTimeline(&found)
	f.checkLoad(&found)
	return found
}

// checkTimeline checks order, names and references of the steps.
func (f *File) checkTimeline(found *problems) {
	var names []string
	for i, event := range f.Timeline {
		where := fmt.Sprintf("timeline[%d] (%s)", i, event.Name)
		if event.actions() != 1 {
			found.add("%s: exactly one action must be set, not %d", where, event.actions())
		}
		if i > 0 && event.At < f.Timeline[i-1].At {
			found.add("%s: at %v is before the step above it", where, event.At)
		}
		if event.At > f.Duration {
			found.add("%s: at %v is after the duration %v", where, event.At, f.Duration)
		}
		if slices.Contains(names, event.Name) {
			found.add("%s: the name is used twice", where)
		}
		names = append(names, event.Name)
		f.Deployment.checkEvent(where, event, found)
	}
}

// checkEvent checks that a step refers only to what the deployment has.
func (d *Deployment) checkEvent(where string, event Event, found *problems) {
	for _, target := range []*Target{event.Kill, event.Restart, event.Stop} {
		if target != nil {
			d.checkTarget(where, *target, found)
		}
	}
	if event.Pause != nil {
		d.checkTarget(where, Target{Node: event.Pause.Node}, found)
	}
	if event.Cut != nil {
		for _, zone := range []string{event.Cut.From, event.Cut.To} {
			d.checkZone(where, zone, found)
		}
	}
}

// checkTarget checks that a target names a node or a zone of the deployment.
func (d *Deployment) checkTarget(where string, target Target, found *problems) {
	if (target.Node == "") == (target.Zone == "") {
		found.add("%s: exactly one of node and zone must be set", where)
		return
	}
	if target.Zone != "" {
		d.checkZone(where, target.Zone, found)
		return
	}
	if !slices.Contains(d.NodeNames(), target.Node) {
		found.add("%s: there is no node %q; nodes are %s", where, target.Node, strings.Join(d.NodeNames(), ", "))
	}
}

// checkZone checks that a zone is one of the deployment.
func (d *Deployment) checkZone(where, zone string, found *problems) {
	if !slices.Contains(d.Zones, zone) {
		found.add("%s: there is no zone %q; zones are %s", where, zone, strings.Join(d.Zones, ", "))
	}
}

// NodeNames returns the names of all nodes: those beside workers in the order
// of the services, then the gateways.
func (d *Deployment) NodeNames() []string {
	var names []string
	for _, service := range d.Services {
		for number := range service.Workers {
			names = append(names, fmt.Sprintf("%s-%d", service.Name, number+1))
		}
	}
	for number := range d.Gateways {
		names = append(names, fmt.Sprintf("gateway-%d", number+1))
	}
	return names
}

// checkLoad checks that calls refer to services of the deployment and to steps of the timeline.
func (f *File) checkLoad(found *problems) {
	if f.Load == nil {
		return
	}
	for i, call := range f.Load.Calls {
		for _, service := range call.Through {
			if !f.Deployment.hasService(service) {
				found.add("load.calls[%d]: there is no service %q in the deployment", i, service)
			}
		}
		for _, step := range []string{call.After, call.Until} {
			if step != "" && !f.hasStep(step) {
				found.add("load.calls[%d]: there is no step %q in the timeline", i, step)
			}
		}
	}
}

// hasService reports whether the deployment has workers of a service.
func (d *Deployment) hasService(name string) bool {
	return slices.ContainsFunc(d.Services, func(service Workers) bool { return service.Name == name })
}

// hasStep reports whether the timeline has a step of that name.
func (f *File) hasStep(name string) bool {
	return slices.ContainsFunc(f.Timeline, func(event Event) bool { return event.Name == name })
}
