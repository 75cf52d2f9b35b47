package identity

import (
	"crypto/tls"
	"crypto/x509"
)

// Mutual returns a server configuration that requires from each client a
// certificate with one of the roles. Each handshake uses the certificates and
// authorities that are current at that time.
func (r *Reloader) Mutual(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAnyClientCert,
		GetCertificate: r.serverCertificate,
		VerifyConnection: func(state tls.ConnectionState) error {
			return r.verify(state, x509.ExtKeyUsageClientAuth, roles)
		},
	}
}

// Server returns a server configuration that does not request a client certificate,
// for callers outside the mesh.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.serverCertificate}
}

// Client returns a client configuration that presents the node's certificate and
// accepts servers with the role of a node. Servers are identified by the identity in
// their certificate, not by a host name.
func (r *Reloader) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain instead, against authorities that may change.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return r.verify(state, x509.ExtKeyUsageServerAuth, []Role{RoleNode})
		},
	}
}

func (r *Reloader) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &r.current.Load().certificate, nil
}

func (r *Reloader) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	if _, err := RequireRole(&state, roles...); err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         r.current.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return ErrUntrusted.Wrap(err, "cannot verify the certificate of the peer")
	}
	return nil
}
