package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// Names of the files that Bundle.Write writes to a directory.
const (
	AuthorityFile   = "ca.pem"
	CertificateFile = "cert.pem"
	KeyFile         = "key.pem"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	clockTolerance    = 5 * time.Minute
	serialNumberBits  = 127
	privateFileMode   = 0o600
	directoryMode     = 0o700
)

// Authority issues throw-away certificates for tests and the lab. Its key is held
// in memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Bundle holds the files of one node, in PEM.
type Bundle struct {
	Authorities []byte
	Certificate []byte
	Key         []byte
}

// GenerateAuthority creates an authority with a new key and a self-signed certificate.
func GenerateAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, ErrFiles.Wrap(err, "cannot generate the key of the authority")
	}
	template, err := newTemplate("levertide throw-away authority", authorityValidity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, ErrFiles.Wrap(err, "cannot create the certificate of the authority")
	}
	certificate, err := x509.ParseCertificate(encoded)
	if err != nil {
		return nil, ErrFiles.Wrap(err, "cannot parse the certificate of the authority")
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue creates a key and a certificate for an identity.
func (a *Authority) Issue(holder Identity, validity time.Duration) (Bundle, error) {
	template, err := newTemplate(holder.Node, validity)
	if err != nil {
		return Bundle{}, err
	}
	template.URIs = []*url.URL{holder.URI()}
	return a.sign(template)
}

func (a *Authority) sign(template *x509.Certificate) (Bundle, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Bundle{}, ErrFiles.Wrap(err, "cannot generate the key")
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Bundle{}, ErrFiles.Wrap(err, "cannot create the certificate")
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Bundle{}, ErrFiles.Wrap(err, "cannot encode the key")
	}
	return Bundle{
		Authorities: encodePEM("CERTIFICATE", a.certificate.Raw),
		Certificate: encodePEM("CERTIFICATE", encoded),
		Key:         encodePEM("PRIVATE KEY", encodedKey),
	}, nil
}

// Write writes the bundle to a directory, which is created if needed, and returns
// the names of the files. Each file is replaced atomically.
func (b Bundle) Write(directory string) (Files, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return Files{}, ErrFiles.Wrap(err, "cannot create the directory")
	}
	files := Files{
		Authorities: filepath.Join(directory, AuthorityFile),
		Certificate: filepath.Join(directory, CertificateFile),
		Key:         filepath.Join(directory, KeyFile),
	}
	contents := []struct {
		path    string
		content []byte
	}{{files.Authorities, b.Authorities}, {files.Certificate, b.Certificate}, {files.Key, b.Key}}
	for _, file := range contents {
		if err := replaceFile(file.path, file.content); err != nil {
			return Files{}, err
		}
	}
	return files, nil
}

func replaceFile(path string, content []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, privateFileMode); err != nil {
		return ErrFiles.Wrap(err, "cannot write the new file")
	}
	if err := os.Rename(temporary, path); err != nil {
		return ErrFiles.Wrap(err, "cannot replace the file")
	}
	return nil
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, ErrFiles.Wrap(err, "cannot generate a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(validity),
	}, nil
}

func encodePEM(kind string, content []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
}
