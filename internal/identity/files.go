package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"
)

// DefaultPollInterval is how often the files are looked at for changes.
const DefaultPollInterval = 2 * time.Second

// Files names the PEM files of one node.
type Files struct {
	Authorities string
	Certificate string
	Key         string
}

// Events is told about certificate files.
type Events interface {
	CertificatesLoaded(identity string, expires time.Time)
	CertificatesFailed(err error)
}

// Reloader holds the certificates of one node and reads them again when the
// files change. It is a suture service.
type Reloader struct {
	files        Files
	events       Events
	pollInterval time.Duration
	current      atomic.Pointer[material]
	stamp        fileStamps
}

// material is what one reading of the files gave.
type material struct {
	authorities *x509.CertPool
	certificate tls.Certificate
	identity    Identity
}

// fileStamps tells whether any of the files has changed.
type fileStamps [3]struct {
	modified time.Time
	size     int64
}

// NewReloader reads the files for the first time. ErrFiles tells that they cannot be used.
func NewReloader(files Files, events Events, poll time.Duration) (*Reloader, error) {
	reloader := &Reloader{files: files, events: events, pollInterval: poll, stamp: files.stamp()}
	loaded, err := files.load()
	if err != nil {
		return nil, err
	}
	reloader.activate(loaded)
	return reloader, nil
}

// Identity returns what the node's own certificate says.
func (k *Reloader) Identity() Identity { return k.current.Load().identity }

// Serve looks at the files until the context ends.
func (k *Reloader) Serve(ctx context.Context) error {
	ticker := time.NewTicker(k.pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			k.refresh()
		}
	}
}

// String names the part in events.
func (k *Reloader) String() string { return "certificates" }

// refresh keeps the former certificates when the new ones cannot be used, as
// while one of two files has been replaced.
func (k *Reloader) refresh() {
	latest := k.files.stamp()
	if latest == k.stamp {
		return
	}
	k.stamp = latest
	loaded, err := k.files.load()
	if err == nil {
		err = checkSameHolder(loaded.identity, k.Identity())
	}
	if err != nil {
		k.events.CertificatesFailed(err)
		return
	}
	k.activate(loaded)
}

func checkSameHolder(offered, held Identity) error {
	if offered == held {
		return nil
	}
	return ErrMismatch.New("the new certificate is for %s, not for %s", offered, held)
}

func (k *Reloader) activate(loaded *material) {
	k.current.Store(loaded)
	k.events.CertificatesLoaded(loaded.identity.String(), loaded.certificate.Leaf.NotAfter)
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
		return nil, ErrFiles.Wrap(err, "authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, ErrFiles.New("%s holds no certificate", f.Authorities)
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, ErrFiles.Wrap(err, "certificate and key")
	}
	identity, err := FromCertificate(certificate.Leaf)
	if err != nil {
		return nil, ErrFiles.Wrap(err, "certificate %s", f.Certificate)
	}
	return &material{authorities: authorities, certificate: certificate, identity: identity}, nil
}
