package identity

import (
	"crypto/tls"
	"crypto/x509"
)

// Mutual returns a server configuration that demands a certificate of one of
// the roles from each client. Certificates and authorities are those of the
// moment of each handshake.
func (k *Reloader) Mutual(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAnyClientCert,
		GetCertificate: k.serverCertificate,
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verify(state, x509.ExtKeyUsageClientAuth, roles)
		},
	}
}

// Server returns a server configuration that asks clients for no certificate,
// for callers outside the mesh.
func (k *Reloader) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: k.serverCertificate}
}

// Client returns a client configuration that shows the node's certificate and
// accepts servers with the role of a node. Servers are known by the identity in
// their certificate, not by a host name.
func (k *Reloader) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified in VerifyConnection, against authorities that may change.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verify(state, x509.ExtKeyUsageServerAuth, []Role{RoleNode})
		},
	}
}

func (k *Reloader) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &k.current.Load().certificate, nil
}

func (k *Reloader) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	if _, err := RequireRole(&state, roles...); err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         k.current.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return ErrUntrusted.Wrap(err, "certificate of the peer")
	}
	return nil
}
