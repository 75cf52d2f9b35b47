package connect

import (
	"fmt"

	"github.com/levertide/levertide/internal/controlpb"
)

// Progress says on how many live nodes a committed version is in force.
type Progress struct {
	InForce    uint32
	Live       uint32
	Everywhere bool
}

// ProgressOf returns the progress of a version, or of a later one that replaced it,
// from a node's answer.
func ProgressOf(answer *controlpb.StatusResponse, version uint64) Progress {
	inForce, live := answer.GetReadiness().GetInForce(), answer.GetLive()
	progress := Progress{Live: live.GetCount()}
	if answer.GetHead().GetCommitted() < version || answer.GetReadiness().GetCommitted() < version {
		return progress
	}
	progress.InForce = inForce.GetCount()
	progress.Everywhere = live.GetCount() > 0 && inForce.GetCount() == live.GetCount() && inForce.GetHash() == live.GetHash()
	return progress
}

// String returns the progress for messages to operators.
func (p Progress) String() string { return fmt.Sprintf("%d of %d live nodes", p.InForce, p.Live) }
