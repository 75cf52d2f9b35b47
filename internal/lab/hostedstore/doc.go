// Package hostedstore is a stand-in for the store of a platform that decides the
// configuration, for tests and the lab: it keeps one document and the entries of
// nodes in memory, and can be down, slow, deaf to some nodes, forget its history
// and lose answers.
package hostedstore
