// Package telemetry logs numbered events as JSON lines and exports the metrics of
// one node.
//
// Each event has a number that is never given to another one, a name, a level
// and a fixed list of fields; docs/EVENTS.md lists them all. Secrets and
// request contents are no field of any event and no label of any metric.
package telemetry
