package identity

import (
	"crypto/tls"
	"net"
	"net/url"
	"path/filepath"
	"testing"
	"time"

	"github.com/joomcode/errorx"
)

type recorder struct {
	loaded int
	failed []error
}

func (r *recorder) CertificatesLoaded(string, time.Time) { r.loaded++ }
func (r *recorder) CertificatesFailed(err error)         { r.failed = append(r.failed, err) }

func authority(t *testing.T) *Authority {
	t.Helper()
	made, err := GenerateAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func issue(t *testing.T, a *Authority, holder Identity, validity time.Duration, directory string) Files {
	t.Helper()
	bundle, err := a.Issue(holder, validity)
	if err != nil {
		t.Fatal(err)
	}
	files, err := bundle.Write(directory)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func newReloader(t *testing.T, a *Authority, holder Identity, validity time.Duration) (*Reloader, *recorder, string) {
	t.Helper()
	directory := t.TempDir()
	events := &recorder{}
	made, err := NewReloader(issue(t, a, holder, validity, directory), events, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return made, events, directory
}

// handshake returns the errors of the server and of the client.
func handshake(server, client *tls.Config) (error, error) {
	serverEnd, clientEnd := net.Pipe()
	defer serverEnd.Close()
	defer clientEnd.Close()
	serverDone := make(chan error, 1)
	go func() {
		connection := tls.Server(serverEnd, server)
		err := connection.Handshake()
		serverEnd.Close()
		serverDone <- err
	}()
	connection := tls.Client(clientEnd, client)
	clientErr := connection.Handshake()
	if clientErr == nil {
		_, _ = connection.Read(make([]byte, 1))
	}
	clientEnd.Close()
	return <-serverDone, clientErr
}

var (
	nodeA    = Identity{"kingston", "a", RoleNode, "n1"}
	nodeB    = Identity{"kingston", "b", RoleNode, "n2"}
	operator = Identity{"kingston", "a", RoleOperator, "someone"}
)

func TestHandshakes(t *testing.T) {
	trusted, unknown := authority(t), authority(t)
	server, _, _ := newReloader(t, trusted, nodeA, time.Hour)
	tests := []struct {
		name     string
		by       *Authority
		holder   Identity
		validity time.Duration
		accepted bool
	}{
		{"node", trusted, nodeB, time.Hour, true},
		{"operator", trusted, operator, time.Hour, false},
		{"unknown authority", unknown, nodeB, time.Hour, false},
		{"expired", trusted, nodeB, -time.Minute, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, _, _ := newReloader(t, test.by, test.holder, test.validity)
			serverErr, clientErr := handshake(server.Mutual(RoleNode), client.Client())
			if accepted := serverErr == nil && clientErr == nil; accepted != test.accepted {
				t.Errorf("server: %v; client: %v", serverErr, clientErr)
			}
		})
	}
	t.Run("without certificate", func(t *testing.T) {
		if serverErr, _ := handshake(server.Mutual(RoleNode), &tls.Config{InsecureSkipVerify: true}); serverErr == nil {
			t.Error("accepted")
		}
	})
}

func TestCertificateMustNameHolder(t *testing.T) {
	for _, text := range []string{"", "levertide://kingston/a/node", "levertide:///a/node/n1", "levertide://kingston//node/n1", "levertide://kingston/a//n1", "levertide://kingston/a/king/n1", "https://kingston/a/node/n1"} {
		template, err := newTemplate("n1", time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		if text != "" {
			uri, err := url.Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			template.URIs = []*url.URL{uri}
		}
		bundle, err := authority(t).sign(template)
		if err != nil {
			t.Fatal(err)
		}
		files, err := bundle.Write(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := NewReloader(files, &recorder{}, time.Hour); !errorx.IsOfType(err, ErrFiles) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestClaims(t *testing.T) {
	if err := nodeA.CheckClaim("kingston", "a", "n1"); err != nil {
		t.Error(err)
	}
	for _, claim := range [][3]string{{"kingston", "b", "n1"}, {"nl-west", "a", "n1"}, {"kingston", "a", "n2"}} {
		if err := nodeA.CheckClaim(claim[0], claim[1], claim[2]); !errorx.IsOfType(err, ErrMismatch) {
			t.Errorf("%v: %v", claim, err)
		}
	}
}

func TestFilesAreReloaded(t *testing.T) {
	previous, next := authority(t), authority(t)
	server, events, directory := newReloader(t, previous, nodeA, time.Hour)
	client, _, _ := newReloader(t, next, nodeB, time.Hour)
	config := server.Mutual(RoleNode)

	server.refresh()
	if events.loaded != 1 {
		t.Fatal("unchanged files were reloaded")
	}
	issue(t, next, nodeA, 2*time.Hour, directory)
	server.refresh()
	if serverErr, clientErr := handshake(config, client.Client()); serverErr != nil || clientErr != nil {
		t.Errorf("after the change: %v, %v", serverErr, clientErr)
	}

	issue(t, previous, nodeB, 3*time.Hour, directory)
	server.refresh()
	if err := replaceFile(filepath.Join(directory, KeyFile), []byte("not a key")); err != nil {
		t.Fatal(err)
	}
	server.refresh()
	if len(events.failed) != 2 || server.Identity() != nodeA {
		t.Errorf("failures %v, identity %v", events.failed, server.Identity())
	}
	if serverErr, clientErr := handshake(config, client.Client()); serverErr != nil || clientErr != nil {
		t.Errorf("after files that cannot be used: %v, %v", serverErr, clientErr)
	}
}
