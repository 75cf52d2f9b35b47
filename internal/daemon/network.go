package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/control"
	"github.com/levertide/levertide/internal/identity"
	"github.com/levertide/levertide/internal/platform/consul"
)

// Time limits of connections to other machines. They are short, so that another
// peer can be tried while the caller still waits.
const (
	dialTimeout       = time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

type dialFunction = func(ctx context.Context, network, address string) (net.Conn, error)

// dialer returns a dial function that connects from the source address if it is valid.
func dialer(source netip.Addr) dialFunction {
	configured := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	if source.IsValid() {
		configured.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	return configured.DialContext
}

// newStoreClient returns a client of the platform's store. When the server used
// last accepts no connection, the next one of the list is tried.
func (d *Daemon) newStoreClient() *consul.Client {
	addresses := make([]string, 0, len(d.settings.StoreAddresses))
	scheme := "http"
	for _, given := range d.settings.StoreAddresses {
		address := given
		if parsed, err := url.Parse(given); err == nil && strings.Contains(given, "://") {
			scheme, address = parsed.Scheme, parsed.Host
		}
		addresses = append(addresses, address)
	}
	servers := &storeServers{addresses: addresses, dial: dialer(d.settings.Source())}
	return consul.New(consul.Config{
		Address: scheme + "://" + addresses[0],
		Token:   string(d.settings.StoreToken),
		Client:  "levertided/" + d.settings.NodeID,
		Dial:    servers.connect,
	})
}

// storeServers connects to one of several servers of the store.
type storeServers struct {
	addresses []string
	dial      dialFunction
	// preferred is the index of the server that accepted the last connection.
	preferred atomic.Uint32
}

func (s *storeServers) connect(ctx context.Context, network, _ string) (net.Conn, error) {
	first := int(s.preferred.Load())
	var failure error
	for offset := range s.addresses {
		index := (first + offset) % len(s.addresses)
		connection, err := s.dial(ctx, network, s.addresses[index])
		if err == nil {
			s.preferred.Store(uint32(index))
			return connection, nil
		}
		failure = err
	}
	return nil, failure
}

// listeners holds the four listeners of the node.
type listeners struct {
	caller  *server
	call    *server
	admin   *server
	control net.Listener
}

func (l *listeners) close() {
	for _, opened := range []*server{l.caller, l.call, l.admin} {
		if opened != nil {
			opened.closeUnserved()
		}
	}
	if l.control != nil {
		_ = l.control.Close()
	}
}

func (d *Daemon) openListeners() error {
	var err error
	if d.listeners.caller, err = newServer("caller", d.settings.CallerAddress, d.callerTLS(d.settings.CallerAddress)); err != nil {
		return err
	}
	if d.listeners.call, err = newServer("call", d.settings.CallAddress, d.nodeTLS()); err != nil {
		return err
	}
	if d.listeners.admin, err = newServer(adminName, d.settings.AdminAddress, d.adminTLS()); err != nil {
		return err
	}
	if d.listeners.control, err = net.Listen("tcp", d.settings.ControlAddress); err != nil {
		return ErrStart.Wrap(err, "cannot open the control listener")
	}
	return nil
}

func (d *Daemon) loadCertificates() error {
	if !d.settings.TLSEnabled() {
		return nil
	}
	files := identity.Files{Authorities: d.settings.TLSCA, Certificate: d.settings.TLSCert, Key: d.settings.TLSKey}
	reloader, err := identity.NewReloader(files, d.log, identity.DefaultPollInterval)
	if err != nil {
		return err
	}
	d.certificates = reloader
	if _, err := requireNodeRole(reloader.Identity()); err != nil {
		return err
	}
	return reloader.Identity().CheckClaim(d.settings.Region, d.settings.Zone, d.settings.NodeID)
}

func requireNodeRole(holder identity.Identity) (identity.Identity, error) {
	if holder.Role != identity.RoleNode {
		return holder, identity.ErrWrongRole.New("%s is not the certificate of a node", holder)
	}
	return holder, nil
}

// callerTLS returns the TLS configuration for callers: none on a loopback address.
func (d *Daemon) callerTLS(address string) *tls.Config {
	if d.certificates == nil || isLoopback(address) {
		return nil
	}
	return d.certificates.Server()
}

func (d *Daemon) nodeTLS() *tls.Config {
	if d.certificates == nil {
		return nil
	}
	return d.certificates.Mutual(identity.RoleNode)
}

func (d *Daemon) adminTLS() *tls.Config {
	if d.certificates == nil || isLoopback(d.settings.AdminAddress) {
		return nil
	}
	return d.certificates.Mutual(identity.RoleOperator, identity.RoleNode)
}

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}

// verifySender checks the certificate of the sender of a control message; the
// control engine calls it for each message. Operators may send the status message only.
func verifySender(sender control.Sender) error {
	roles := []identity.Role{identity.RoleNode}
	if sender.Message == control.MessageStatus {
		roles = append(roles, identity.RoleOperator)
	}
	peer, err := identity.RequireRole(sender.Connection, roles...)
	if err != nil || sender.Claim == nil {
		return err
	}
	return peer.CheckClaim(sender.Claim.Region, sender.Claim.Zone, sender.Claim.ID)
}
