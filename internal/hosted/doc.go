// Package hosted coordinates the nodes of a deployment whose configuration a
// platform decides: which nodes read the platform's store, who tells whom, which
// document is in force on this node, and which of its workers may be given work.
//
// Its parts, each with a state of its own:
//
//   - Documents holds the newest document and offers it to the consumer.
//   - Reader watches the store while it is this node's turn.
//   - Announcer keeps this node's key in the store and finds the first others.
//   - Peers sends messages to other nodes; Server answers theirs.
//   - Syncer compares notes with a random other node, and tries those lost.
//
// A node that starts goes through these steps; the file of each is named:
//
//  1. Announcer lists the entries that other nodes have in the store (directory.go). At the
//     first start of a mesh the nodes come one after the other for that (announcer.go).
//  2. Agent takes the nodes that the entries name and asks three of them, the hub of its zone
//     first, for records, the document and what this node's former lives have
//     promised (previous.go).
//  3. Reader waits for the document, or reads it: at once when this node is the hub that the
//     entries name, else when nobody has handed it on (reader.go).
//  4. Introduction asks the worker beside the node who it is, once there is a document
//     (prober.go).
//  5. Announcer has the store asked for promises that no node has told of, by the second hub
//     of the zone or by itself (entry.go, recall.go).
//  6. Agent lets the workers be given work and tells the other nodes of them, by way of the
//     hub (previous.go, hub.go).
//  7. Announcer keeps the entry of the former life, or writes one if too few nodes have any or
//     this node is a hub (entry.go).
//
// Agent puts them together. docs/PLATFORM.md gives the reasons.
package hosted
