package control

import (
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/membership"
)

// Limits of the size of a peer's messages and of the time that they may take.
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

// TCP keepalive of the connections between nodes. The accepting side probes later
// than the dialing side, so that only one side probes a healthy connection.
const (
	keepAliveInterval    = time.Second
	dialKeepAliveIdle    = time.Second
	dialKeepAliveCount   = 2
	acceptKeepAliveIdle  = 2 * time.Second
	acceptKeepAliveCount = 2
)

func checkMember(member *controlpb.Member) error {
	if member.GetId() == "" || member.GetZone() == "" || member.GetRegion() == "" {
		return ErrMalformed.New("member without identifier, zone or region")
	}
	if err := checkAddresses(member); err != nil {
		return err
	}
	if member.GetState() > uint32(membership.StateLost) {
		return ErrMalformed.New("member in an unknown state")
	}
	texts := [...]string{
		member.GetId(), member.GetRegion(), member.GetZone(), member.GetService(),
		member.GetControlAddress(), member.GetCallAddress(),
	}
	for _, text := range texts {
		if len(text) > maximumNameBytes {
			return ErrMalformed.New("member with a field of %d bytes, above the limit", len(text))
		}
	}
	return nil
}

// checkAddresses refuses a member that others cannot reach. A member that takes no calls names no address
// for them.
func checkAddresses(member *controlpb.Member) error {
	if _, err := endpoint.Parse(member.GetControlAddress()); err != nil {
		return ErrMalformed.Wrap(err, "control address of a member")
	}
	if member.GetCallAddress() == "" {
		return nil
	}
	if _, err := endpoint.Parse(member.GetCallAddress()); err != nil {
		return ErrMalformed.Wrap(err, "call address of a member")
	}
	return nil
}

func checkWatch(request *controlpb.WatchRequest) error {
	if request.GetHandle() != 0 {
		return nil
	}
	if len(request.GetScope().GetService()) > maximumNameBytes {
		return ErrMalformed.New("scope with a service name of %d bytes, above the limit", len(request.GetScope().GetService()))
	}
	if request.GetSelf() == nil {
		return nil
	}
	return checkMember(request.GetSelf())
}

func checkReport(request *controlpb.ReportRequest) error {
	if request.GetNode() == "" || len(request.GetNode()) > maximumNameBytes {
		return ErrMalformed.New("report whose node name is empty or above the length limit")
	}
	if len(request.GetMembers()) > maximumMembers || len(request.GetDetached()) > maximumMembers {
		return ErrMalformed.New("report with %d members, in which the members or the detached nodes are above the limit", len(request.GetMembers()))
	}
	return nil
}

func checkAnswer(answer *controlpb.WatchResponse) error {
	switch {
	case len(answer.GetDeltas()) > maximumDeltas:
		return ErrMalformed.New("answer with %d deltas, above the limit", len(answer.GetDeltas()))
	case len(answer.GetPath()) > maximumPath:
		return ErrMalformed.New("answer with a path of %d nodes, above the limit", len(answer.GetPath()))
	case len(answer.GetDirectory().GetMembers()) > maximumMembers:
		return ErrMalformed.New("answer with %d members, above the limit", len(answer.GetDirectory().GetMembers()))
	}
	return nil
}
