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
// Agent puts them together. docs/PLATFORM.md gives the reasons.
package hosted
