// Package hostedstore is a stand-in for the store of a platform that decides the
// configuration, for tests and the lab. It holds one document and the entries of
// nodes in memory. It can be down, slow or unresponsive for some nodes, drop its
// history and lose answers.
package hostedstore
