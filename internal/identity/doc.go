// Package identity gives nodes mutual TLS from PEM files that are read again
// when they change, without a restart.
//
// A certificate names its holder in one URI of the form
// levertide://REGION/ZONE/ROLE/NODE. Roles are node, for members of the mesh,
// and operator, for people who ask for status. A certificate without such a URI
// is refused, and so is a peer whose certificate names another region, zone or
// node than the peer claims.
package identity
