package connect

import (
	"context"
	"crypto/tls"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/identity"
	"github.com/levertide/levertide/pkg/endpoint"
)

// NodeFlags holds the control addresses of nodes and the operator's certificate.
type NodeFlags struct {
	addresses string
	mesh      string
	files     identity.Files
}

// Register adds the --node flag and those for TLS.
func (n *NodeFlags) Register(flags *flag.FlagSet) {
	flags.StringVar(&n.addresses, "node", os.Getenv(variableNode),
		"control `addresses` (IP:port) of nodes, comma-separated; any node will do, the first that answers is used ($"+variableNode+")")
	flags.StringVar(&n.mesh, "mesh", os.Getenv(variableMesh), "`name` of the mesh, if its nodes were given one ($"+variableMesh+")")
	flags.StringVar(&n.files.Authorities, "tls-ca", os.Getenv(variableCA), "PEM `file` with the authorities of the nodes ($"+variableCA+")")
	flags.StringVar(&n.files.Certificate, "tls-cert", os.Getenv(variableCert), "PEM `file` with the operator's certificate ($"+variableCert+")")
	flags.StringVar(&n.files.Key, "tls-key", os.Getenv(variableKey), "PEM `file` with the operator's key ($"+variableKey+")")
}

// Given reports whether any node is named.
func (n *NodeFlags) Given() bool { return len(split(n.addresses)) > 0 }

// Check returns a usage error unless the flags can be used together.
func (n *NodeFlags) Check() error {
	for _, address := range split(n.addresses) {
		if _, err := endpoint.Parse(address); err != nil {
			return exit.UsageError("--node: " + err.Error())
		}
	}
	given := 0
	for _, file := range []string{n.files.Authorities, n.files.Certificate, n.files.Key} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return exit.UsageError("--tls-ca, --tls-cert and --tls-key go together")
	}
	return nil
}

// maximumHops is how often nodes may forward a status request towards the
// coordinator; without hops the node that receives it answers for itself.
const maximumHops = 16

// nodeTimeout bounds the request to one node before the next one is tried. A node
// may have to forward the request, level by level, to the coordinator.
const (
	dialTimeout = 2 * time.Second
	nodeTimeout = 8 * time.Second
)

var errNoNode = errors.New("no node is named")

// Nodes requests the state of the system from nodes.
type Nodes struct {
	addresses []string
	mesh      string
	scheme    string
	transport *http.Transport
}

// Open reads the certificate files; it opens no connection yet.
func (n *NodeFlags) Open() (*Nodes, error) {
	dial := (&net.Dialer{}).DialContext
	nodes := &Nodes{addresses: split(n.addresses), mesh: n.mesh, scheme: "http", transport: newTransport(dial)}
	if n.files.Authorities == "" {
		return nodes, nil
	}
	config, err := clientTLS(n.files)
	if err != nil {
		return nil, err
	}
	nodes.scheme = "https"
	nodes.transport.DialTLSContext = httpconn.Track(httpconn.Encrypt(dial, config), dialTimeout)
	return nodes, nil
}

func newTransport(dial httpconn.DialFunc) *http.Transport {
	return &http.Transport{DialContext: httpconn.Track(dial, dialTimeout)}
}

// clientTLS reads the files once: a command ends too soon for them to be reloaded.
func clientTLS(files identity.Files) (*tls.Config, error) {
	reloader, err := identity.NewReloader(files, discardEvents{}, identity.DefaultPollInterval)
	if err != nil {
		return nil, err
	}
	return reloader.Client(), nil
}

// discardEvents discards the events of a Reloader, since NewReloader returns the
// errors of the first loading.
type discardEvents struct{}

func (discardEvents) CertificatesLoaded(string, time.Time) {}
func (discardEvents) CertificatesFailed(error)             {}

// Status queries one node after the other and returns the first answer.
func (n *Nodes) Status(ctx context.Context) (*controlpb.StatusResponse, error) {
	last := errNoNode
	for _, address := range n.addresses {
		answer, err := n.requestStatus(ctx, address)
		if err == nil {
			return answer, nil
		}
		last = fmt.Errorf("%s: %w", address, err)
	}
	return nil, last
}

func (n *Nodes) requestStatus(ctx context.Context, address string) (*controlpb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	prefix := twirp.WithClientPathPrefix(controlpb.PathPrefix(n.mesh))
	client := controlpb.NewControlProtobufClient(n.scheme+"://"+address, &http.Client{Transport: httpconn.CheckAnswers(n.transport, 1)}, prefix)
	return client.Status(ctx, &controlpb.StatusRequest{Hops: maximumHops})
}

// Close closes the idle connections.
func (n *Nodes) Close() { n.transport.CloseIdleConnections() }
