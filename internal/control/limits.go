package control

import (
	"net/netip"
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
)

// Bounds of what a peer may send and how long it may take.
const (
	maximumRequestBytes   = 4 << 20
	maximumAnswerBytes    = 24 << 20
	maximumHeaderBytes    = 8 << 10
	maximumNameBytes      = 256
	maximumMembers        = 20000
	maximumDeltas         = 4
	maximumPath           = 64
	maximumUnpackedBytes  = 8 << 20
	maximumStatusHops     = 16
	maximumStreams        = 64
	maximumHold           = 30 * time.Second
	headerTimeout         = 5 * time.Second
	bodyTimeout           = 10 * time.Second
	idleConnectionTimeout = 8 * time.Second
	shutdownTimeout       = 250 * time.Millisecond
)

// Keepalive of the connections between nodes. The accepting side probes later
// than the dialing one, so that in a healthy connection only one side probes.
const (
	keepAliveInterval    = time.Second
	dialKeepAliveIdle    = time.Second
	dialKeepAliveCount   = 2
	acceptKeepAliveIdle  = 2 * time.Second
	acceptKeepAliveCount = 2
)

func checkMember(member *controlpb.Member) error {
	if member.GetId() == "" || member.GetZone() == "" || member.GetRegion() == "" {
		return ErrMalformed.New("a member without identifier, zone or region")
	}
	if !isAddress(member.GetControlAddress()) {
		return ErrMalformed.New("a member without a control address")
	}
	if member.GetState() > uint32(membership.StateLost) {
		return ErrMalformed.New("a member in an unknown state")
	}
	texts := [...]string{
		member.GetId(), member.GetRegion(), member.GetZone(), member.GetService(),
		member.GetControlAddress(), member.GetCallAddress(),
	}
	for _, text := range texts {
		if len(text) > maximumNameBytes {
			return ErrMalformed.New("a member with a name of %d bytes", len(text))
		}
	}
	return nil
}

// isAddress reports whether a text is an IP address and a port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func checkWatch(request *controlpb.WatchRequest) error {
	if request.GetHandle() != 0 {
		return nil
	}
	if len(request.GetScope().GetService()) > maximumNameBytes {
		return ErrMalformed.New("a scope with a name of %d bytes", len(request.GetScope().GetService()))
	}
	if request.GetSelf() == nil {
		return nil
	}
	return checkMember(request.GetSelf())
}

func checkReport(request *controlpb.ReportRequest) error {
	if request.GetNode() == "" || len(request.GetNode()) > maximumNameBytes {
		return ErrMalformed.New("a report without the name of its node")
	}
	if len(request.GetMembers()) > maximumMembers || len(request.GetDetached()) > maximumMembers {
		return ErrMalformed.New("a report with %d members", len(request.GetMembers()))
	}
	return nil
}

func checkAnswer(answer *controlpb.WatchResponse) error {
	switch {
	case len(answer.GetDeltas()) > maximumDeltas:
		return ErrMalformed.New("an answer with %d deltas", len(answer.GetDeltas()))
	case len(answer.GetPath()) > maximumPath:
		return ErrMalformed.New("an answer with a path of %d nodes", len(answer.GetPath()))
	case len(answer.GetDirectory().GetMembers()) > maximumMembers:
		return ErrMalformed.New("an answer with %d members", len(answer.GetDirectory().GetMembers()))
	}
	return nil
}
