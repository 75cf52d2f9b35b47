package control

import (
	"context"
	"crypto/tls"
	"net/http"
	"path"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/pkg/membership"
)

// Message is a kind of control message, named as its RPC method.
type Message string

// The kinds of control message.
const (
	MessageWatch   Message = "Watch"
	MessageReport  Message = "Report"
	MessageMembers Message = "Members"
	MessageFloor   Message = "Floor"
	MessageStatus  Message = "Status"
)

// Sender identifies who sent a message over a TLS connection, and in which
// node's name.
type Sender struct {
	Connection *tls.ConnectionState
	Message    Message
	// Claim is the member record in whose name the message was sent. It is nil
	// when there is none, and always before the message has been read.
	Claim *membership.Record
}

// connectionKey is the context key of a request's TLS connection state.
type connectionKey struct{}

// verified rejects clients that are not allowed to send the message. It runs
// before the message is read.
func (n *Node) verified(next http.Handler) http.Handler {
	if n.config.VerifyPeer == nil && n.config.VerifySender == nil {
		return next
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.TLS == nil {
			http.Error(writer, "a client certificate is needed", http.StatusForbidden)
			return
		}
		sender := Sender{Connection: request.TLS, Message: Message(path.Base(request.URL.Path))}
		if err := n.verify(sender); err != nil {
			n.events.PeerRefused(request.RemoteAddr, err.Error())
			http.Error(writer, "the client certificate is not accepted", http.StatusForbidden)
			return
		}
		ctx := context.WithValue(request.Context(), connectionKey{}, request.TLS)
		next.ServeHTTP(writer, request.WithContext(ctx))
	})
}

func (n *Node) verify(sender Sender) error {
	if n.config.VerifyPeer != nil {
		if err := n.config.VerifyPeer(sender.Connection); err != nil {
			return err
		}
	}
	if n.config.VerifySender != nil {
		return n.config.VerifySender(sender)
	}
	return nil
}

// verifyClaim rejects a message that was sent in the name of a node other than
// its sender.
func (n *Node) verifyClaim(ctx context.Context, message Message, claim membership.Record) error {
	connection, secured := ctx.Value(connectionKey{}).(*tls.ConnectionState)
	if !secured {
		return nil
	}
	err := n.verify(Sender{Connection: connection, Message: message, Claim: &claim})
	if err == nil {
		return nil
	}
	n.events.PeerRefused(claim.ID, err.Error())
	return twirp.PermissionDenied.Error("the certificate is of another node")
}

// childOfHandle returns the record of the child that a handle was given to.
func (n *Node) childOfHandle(handle uint64) (membership.Record, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, entry := range n.children.byID {
		if entry.handle == handle {
			return entry.record, true
		}
	}
	return membership.Record{}, false
}

// childRecord returns the record of a child.
func (n *Node) childRecord(id string) (membership.Record, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	entry, found := n.children.byID[id]
	if !found {
		return membership.Record{}, false
	}
	return entry.record, true
}
