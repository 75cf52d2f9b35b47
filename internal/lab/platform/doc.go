// Package platform is a stand-in for the platform's store and machine list,
// for tests and experiments. It serves the part of Consul's published HTTP API
// that levertide uses: key-value records, transactions, sessions, blocking
// reads, and the catalogue of one service with its maintenance marks.
//
// Faults are set with SetFaults or over AdminHandler: a limit on the rate of
// requests, outages, slowness, writes whose request or answer is lost, expired
// sessions, a lagging machine list, and content restored from an older copy.
// Requests are counted by kind and by client.
package platform
