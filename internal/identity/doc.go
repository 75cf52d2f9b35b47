// Package identity provides nodes with mutual TLS from PEM files, which are
// reloaded when they change, without a restart.
//
// A certificate names its holder in one URI of the form
// levertide://REGION/ZONE/ROLE/NODE. Roles are node, for members of the mesh,
// and operator, for people who request the status. A certificate without such a URI
// is refused, and so is a peer whose certificate names another region, zone or
// node than the peer claims.
package identity
