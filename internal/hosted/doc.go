// Package hosted coordinates the nodes of a deployment whose configuration comes from a
// platform's store: which nodes read the store, which nodes send updates to which, which
// document is in force on this node, and which of its workers may be given work.
//
// Its main parts, each with a state of its own:
//
//   - Documents holds the newest document and offers it to the consumer.
//   - Reader watches the store while this node is one of its readers.
//   - Announcer maintains this node's entry in the store and finds the first other nodes.
//   - Peers sends messages to other nodes; Server answers theirs.
//   - Syncer runs anti-entropy exchanges with random other nodes, and retries lost ones.
//
// A node that starts goes through these steps; the file of each is named:
//
//  1. Announcer lists the entries of other nodes in the store (directory.go). At the first
//     start of a mesh the nodes spread these calls over time (announcer.go).
//  2. Agent adds the listed nodes to its table and asks three of them, the hub of its zone
//     first, for records, the document and the drain commitments of this node's previous
//     incarnations (previous.go).
//  3. Reader waits for the document, or reads it: at once when this node is the hub of its
//     zone among the listed nodes, else when nobody has sent it (reader.go).
//  4. Prober asks the worker beside the node to identify itself, once there is a document
//     (prober.go).
//  5. Announcer has the store read for drain commitments that no node has reported, by the
//     second hub of the zone or by itself (entry.go, recall.go).
//  6. Agent lets the workers be given work and announces them to the other nodes, through
//     the hub (previous.go, hub.go).
//  7. Announcer adopts the entry of the previous incarnation, or writes one if too few nodes
//     have one or this node is a hub (entry.go).
//
// Agent connects the parts. docs/PLATFORM.md gives the reasons.
package hosted
