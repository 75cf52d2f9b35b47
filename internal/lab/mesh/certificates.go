package mesh

import (
	"os"
	"path/filepath"
	"time"

	"github.com/levertide/levertide/internal/identity"
)

// certificateValidity is longer than any run.
const certificateValidity = 24 * time.Hour

// certificates are throw-away certificates of the nodes of one mesh.
type certificates struct {
	directory string
	authority *identity.Authority
}

// newCertificates makes an authority and a directory for what it issues.
func newCertificates() (*certificates, error) {
	authority, err := identity.GenerateAuthority()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "levertide-certificates-")
	if err != nil {
		return nil, ErrCertificates.Wrap(err, "directory")
	}
	return &certificates{directory: directory, authority: authority}, nil
}

// issue writes the files of one node.
func (c *certificates) issue(region string, node *Node) (identity.Files, error) {
	holder := identity.Identity{Region: region, Zone: node.Zone, Role: identity.RoleNode, Node: node.Name}
	bundle, err := c.authority.Issue(holder, certificateValidity)
	if err != nil {
		return identity.Files{}, err
	}
	return bundle.Write(filepath.Join(c.directory, node.Name))
}

// remove removes everything that was issued.
func (c *certificates) remove() { _ = os.RemoveAll(c.directory) }
