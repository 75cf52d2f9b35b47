package mesh

import (
	"os"
	"path/filepath"
	"time"

	"github.com/levertide/levertide/internal/identity"
)

// certificateValidity is longer than any run.
const certificateValidity = 24 * time.Hour

// certificates issues temporary certificates to the nodes of one mesh.
type certificates struct {
	directory string
	authority *identity.Authority
}

// newCertificates creates an authority, and a directory for the files that it issues.
func newCertificates() (*certificates, error) {
	authority, err := identity.GenerateAuthority()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "levertide-certificates-")
	if err != nil {
		return nil, ErrCertificates.Wrap(err, "create the directory")
	}
	return &certificates{directory: directory, authority: authority}, nil
}

// issue issues a certificate to one node and writes its files.
func (c *certificates) issue(region string, node *Node) (identity.Files, error) {
	holder := identity.Identity{Region: region, Zone: node.Zone, Role: identity.RoleNode, Node: node.Name}
	bundle, err := c.authority.Issue(holder, certificateValidity)
	if err != nil {
		return identity.Files{}, err
	}
	return bundle.Write(filepath.Join(c.directory, node.Name))
}

// remove deletes all issued files.
func (c *certificates) remove() { _ = os.RemoveAll(c.directory) }
