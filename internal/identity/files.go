package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"
)

// DefaultPollInterval is how often the files are checked for changes.
const DefaultPollInterval = 2 * time.Second

// Files names the PEM files of one node.
type Files struct {
	Authorities string
	Certificate string
	Key         string
}

// Events receives the results of loading certificate files.
type Events interface {
	CertificatesLoaded(identity string, expires time.Time)
	CertificatesFailed(err error)
}

// Reloader holds the certificates of one node and reloads them when the files
// change. It is a suture service.
type Reloader struct {
	files        Files
	events       Events
	pollInterval time.Duration
	current      atomic.Pointer[material]
	stamp        fileStamps
}

// material is the content of the files as loaded at one time.
type material struct {
	authorities *x509.CertPool
	certificate tls.Certificate
	identity    Identity
}

// fileStamps holds modification time and size of each file; it differs once any
// of the files has changed.
type fileStamps [3]struct {
	modified time.Time
	size     int64
}

// NewReloader loads the files for the first time. It returns ErrFiles if they cannot
// be used.
func NewReloader(files Files, events Events, poll time.Duration) (*Reloader, error) {
	reloader := &Reloader{files: files, events: events, pollInterval: poll, stamp: files.stamp()}
	loaded, err := files.load()
	if err != nil {
		return nil, err
	}
	reloader.activate(loaded)
	return reloader, nil
}

// Identity returns the identity in the node's own certificate.
func (r *Reloader) Identity() Identity { return r.current.Load().identity }

// Serve checks the files for changes until the context ends.
func (r *Reloader) Serve(ctx context.Context) error {
	ticker := time.NewTicker(r.pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.refresh()
		}
	}
}

// String returns the name used in log events.
func (r *Reloader) String() string { return "certificates" }

// refresh reloads the files if they have changed. It keeps the previous certificates
// when the new ones cannot be used, for example while only one of certificate and key
// has been replaced.
func (r *Reloader) refresh() {
	latest := r.files.stamp()
	if latest == r.stamp {
		return
	}
	r.stamp = latest
	loaded, err := r.files.load()
	if err == nil {
		err = checkSameHolder(loaded.identity, r.Identity())
	}
	if err != nil {
		r.events.CertificatesFailed(err)
		return
	}
	r.activate(loaded)
}

func checkSameHolder(offered, held Identity) error {
	if offered == held {
		return nil
	}
	return ErrMismatch.New("the new certificate is for %s, not for %s", offered, held)
}

func (r *Reloader) activate(loaded *material) {
	r.current.Store(loaded)
	r.events.CertificatesLoaded(loaded.identity.String(), loaded.certificate.Leaf.NotAfter)
}

func (f Files) stamp() fileStamps {
	var result fileStamps
	for index, path := range []string{f.Authorities, f.Certificate, f.Key} {
		information, err := os.Stat(path)
		if err != nil {
			continue
		}
		result[index].modified = information.ModTime()
		result[index].size = information.Size()
	}
	return result
}

func (f Files) load() (*material, error) {
	pem, err := os.ReadFile(f.Authorities)
	if err != nil {
		return nil, ErrFiles.Wrap(err, "cannot read the certificates of the authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, ErrFiles.New("%s holds no certificate", f.Authorities)
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, ErrFiles.Wrap(err, "cannot load the certificate and its key")
	}
	identity, err := FromCertificate(certificate.Leaf)
	if err != nil {
		return nil, ErrFiles.Wrap(err, "invalid identity in certificate %s", f.Certificate)
	}
	return &material{authorities: authorities, certificate: certificate, identity: identity}, nil
}
