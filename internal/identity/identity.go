package identity

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("identity")

var (
	// ErrNoIdentity reports that a certificate does not name region, zone, role and node.
	ErrNoIdentity = namespace.NewType("no_identity")
	// ErrWrongRole reports that a certificate's role does not allow the request.
	ErrWrongRole = namespace.NewType("wrong_role")
	// ErrMismatch reports that a peer claims another identity than its certificate names.
	ErrMismatch = namespace.NewType("mismatch")
	// ErrUntrusted reports that a certificate cannot be verified against the known
	// authorities.
	ErrUntrusted = namespace.NewType("untrusted")
	// ErrFiles reports that certificate files cannot be read, written or used.
	ErrFiles = namespace.NewType("files")
)

// Role says what the holder of a certificate may do.
type Role string

// The roles.
const (
	// RoleNode may take part in the mesh.
	RoleNode Role = "node"
	// RoleOperator may request the status.
	RoleOperator Role = "operator"
)

const uriScheme = "levertide"

// Identity identifies the holder of a certificate.
type Identity struct {
	Region string
	Zone   string
	Role   Role
	Node   string
}

// URI returns the identity in the form that certificates hold.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: i.Region, Path: "/" + i.Zone + "/" + string(i.Role) + "/" + i.Node}
}

// String returns the URI as text.
func (i Identity) String() string { return i.URI().String() }

// Check returns ErrNoIdentity unless each part is given and the role is known.
func (i Identity) Check() error {
	_, err := parse(i.URI())
	return err
}

// FromCertificate returns the identity that a certificate names, or ErrNoIdentity.
func FromCertificate(certificate *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, uri := range certificate.URIs {
		if uri.Scheme != uriScheme {
			continue
		}
		identity, err := parse(uri)
		if err != nil {
			return Identity{}, err
		}
		found = append(found, identity)
	}
	if len(found) != 1 {
		return Identity{}, ErrNoIdentity.New("the certificate holds %d %s URIs, want exactly one", len(found), uriScheme)
	}
	return found[0], nil
}

func parse(uri *url.URL) (Identity, error) {
	parts := strings.Split(strings.TrimPrefix(uri.Path, "/"), "/")
	if len(parts) != 3 || uri.Host == "" || parts[0] == "" || parts[2] == "" {
		return Identity{}, ErrNoIdentity.New("%q is not %s://REGION/ZONE/ROLE/NODE", uri, uriScheme)
	}
	role := Role(parts[1])
	if role != RoleNode && role != RoleOperator {
		return Identity{}, ErrNoIdentity.New("%q names an unknown role", uri)
	}
	return Identity{Region: uri.Host, Zone: parts[0], Role: role, Node: parts[2]}, nil
}

// FromConnection returns the identity of the peer of a TLS connection.
func FromConnection(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, ErrNoIdentity.New("the peer presented no certificate")
	}
	return FromCertificate(state.PeerCertificates[0])
}

// RequireRole returns the identity of the peer. It returns ErrWrongRole unless the
// peer has one of the roles.
func RequireRole(state *tls.ConnectionState, roles ...Role) (Identity, error) {
	peer, err := FromConnection(state)
	if err != nil {
		return Identity{}, err
	}
	for _, role := range roles {
		if peer.Role == role {
			return peer, nil
		}
	}
	return Identity{}, ErrWrongRole.New("the role of %s does not allow this request", peer)
}

// CheckClaim returns ErrMismatch unless the identity has the claimed region, zone and node.
func (i Identity) CheckClaim(region, zone, node string) error {
	if i.Region == region && i.Zone == zone && i.Node == node {
		return nil
	}
	return ErrMismatch.New("%s claims to be %s in zone %s of region %s", i, node, zone, region)
}
