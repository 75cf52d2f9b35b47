package integration_test

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/internal/identity"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/tests/integration/harness"
)

const (
	testRegion          = "test"
	certificateValidity = time.Hour
	exitFailed          = 1
)

// eventCertificatesLoaded is the event number listed in docs/EVENTS.md.
const eventCertificatesLoaded observe.EventNumber = 501

// withCertificates issues a certificate for each node, in a separate directory.
func withCertificates(t *testing.T, authority *identity.Authority, directory string, nodes []harness.NodeOptions) {
	t.Helper()
	for index, node := range nodes {
		files := issue(t, authority, identity.Identity{Region: testRegion, Zone: node.Zone, Role: identity.RoleNode, Node: node.Name},
			filepath.Join(directory, node.Name))
		nodes[index].Settings = map[string]string{
			"tls-ca": files.Authorities, "tls-cert": files.Certificate, "tls-key": files.Key,
		}
	}
}

func issue(t *testing.T, authority *identity.Authority, holder identity.Identity, directory string) identity.Files {
	t.Helper()
	bundle, err := authority.Issue(holder, certificateValidity)
	if err != nil {
		t.Fatal(err)
	}
	files, err := bundle.Write(directory)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func newAuthority(t *testing.T) *identity.Authority {
	t.Helper()
	authority, err := identity.GenerateAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func TestMutualTLS(t *testing.T) {
	authority, directory, nodes := newAuthority(t), t.TempDir(), twoZones()
	withCertificates(t, authority, directory, nodes)
	mesh, _ := running(t, nodes...)
	for _, node := range mesh.Nodes("") {
		get(t, mesh, node, 1)
	}
	for name, client := range unauthorizedClients(t, authority) {
		for _, endpoint := range []*harness.Endpoint{targetNode(mesh).Control, targetNode(mesh).Calls} {
			if acceptedBy(endpoint.Address, client) {
				t.Errorf("%s was accepted", name)
			}
		}
	}

	mark := mesh.Events.Mark()
	withCertificates(t, authority, directory, nodes)
	for _, node := range mesh.Nodes("") {
		mesh.Events.AwaitAfter(mark, node.Name, "certificates loaded", func(event observe.Event) bool {
			return event.Number == eventCertificatesLoaded
		})
	}
	second := mesh.Operator.Apply(resources(2))
	mesh.AwaitVersion(second, mesh.Nodes("")...)
	for _, node := range mesh.Nodes("") {
		get(t, mesh, node, 2)
	}
}

func targetNode(mesh *harness.Mesh) *harness.Node { return mesh.Node("a-ledger-1") }

// unauthorizedClients returns the configurations of clients that no node may accept.
func unauthorizedClients(t *testing.T, authority *identity.Authority) map[string]*tls.Config {
	t.Helper()
	operator := identity.Identity{Region: testRegion, Zone: "a", Role: identity.RoleOperator, Node: "someone"}
	node := identity.Identity{Region: testRegion, Zone: "a", Role: identity.RoleNode, Node: "a-ledger-2"}
	return map[string]*tls.Config{
		"a client without certificate":    {InsecureSkipVerify: true},
		"a node of another authority":     clientConfig(t, newAuthority(t), node),
		"an operator on a calls listener": clientConfig(t, authority, operator),
	}
}

func clientConfig(t *testing.T, authority *identity.Authority, holder identity.Identity) *tls.Config {
	t.Helper()
	files := issue(t, authority, holder, t.TempDir())
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{certificate}}
}

// acceptedBy reports whether a request gets any answer other than status 403.
func acceptedBy(address string, config *tls.Config) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer connection.Close()
	client := tls.Client(connection, config)
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		return false
	}
	answer := make([]byte, len("HTTP/1.1 403"))
	count, _ := client.Read(answer)
	return count > 0 && string(answer[:count]) != "HTTP/1.1 403"
}

func TestNodeWithCertificateOfAnotherZoneDoesNotStart(t *testing.T) {
	t.Parallel()
	authority := newAuthority(t)
	files := issue(t, authority, identity.Identity{Region: testRegion, Zone: "b", Role: identity.RoleNode, Node: "a-gateway"}, t.TempDir())
	mesh := harness.New(t, harness.NodeOptions{Name: "a-gateway", Zone: "a", Settings: map[string]string{
		"tls-ca": files.Authorities, "tls-cert": files.Certificate, "tls-key": files.Key,
	}})
	node := mesh.Node("a-gateway")
	node.Start()
	if code := node.AwaitExit(); code != exitFailed {
		t.Errorf("exit code %d", code)
	}
}

func TestOperatorAsksForStatusOverTLS(t *testing.T) {
	authority, nodes := newAuthority(t), twoZones()
	withCertificates(t, authority, t.TempDir(), nodes)
	mesh, _ := running(t, nodes...)
	operator := identity.Identity{Region: testRegion, Zone: "a", Role: identity.RoleOperator, Node: "someone"}
	files := issue(t, authority, operator, t.TempDir())
	status := harness.Levertide(t.Context(), "status", "--node", targetNode(mesh).Control.Address,
		"--tls-ca", files.Authorities, "--tls-cert", files.Certificate, "--tls-key", files.Key)
	if status.ExitCode != int(exit.Accepted) {
		t.Errorf("status: %+v", status)
	}
	for _, method := range []string{"Watch", "Report", "Members", "Floor"} {
		if answered := postAs(t, mesh, clientConfig(t, authority, operator), method); answered != http.StatusForbidden {
			t.Errorf("%s answered an operator with status %d, want 403", method, answered)
		}
	}
}

// postAs calls a control method with an empty message and returns the status.
func postAs(t *testing.T, mesh *harness.Mesh, config *tls.Config, method string) int {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	url := "https://" + targetNode(mesh).Control.Address + "/twirp/levertide.control.v1.Control/" + method
	response, err := client.Post(url, "application/protobuf", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

func TestSenderMustBeWhoItsCertificateNames(t *testing.T) {
	authority, nodes := newAuthority(t), twoZones()
	withCertificates(t, authority, t.TempDir(), nodes)
	mesh, _ := running(t, nodes...)
	holder := identity.Identity{Region: testRegion, Zone: "a", Role: identity.RoleNode, Node: "intruder"}
	client := controlpb.NewControlProtobufClient("https://"+targetNode(mesh).Control.Address,
		&http.Client{Transport: &http.Transport{TLSClientConfig: clientConfig(t, authority, holder)}})
	claims := map[string]*controlpb.Member{
		"another zone": {Id: "intruder", Region: testRegion, Zone: "b"},
		"another node": {Id: "a-ledger-2", Region: testRegion, Zone: "a"},
	}
	for name, claim := range claims {
		claim.Incarnation, claim.ControlAddress = 1, "127.0.0.1:1"
		_, err := client.Watch(t.Context(), &controlpb.WatchRequest{Self: claim, Scope: &controlpb.Scope{All: true}})
		var answer twirp.Error
		if !errors.As(err, &answer) || answer.Code() != twirp.PermissionDenied {
			t.Errorf("%s: %v", name, err)
		}
	}
}
