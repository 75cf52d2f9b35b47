package intake

import (
	"math"
	"testing"
)

func TestSharesAddUpToOne(t *testing.T) {
	memory := callersShare + hopsShare + connectionsShare + kernelShare + garbageShare + otherShare
	sockets := callerSocketsShare + offerSocketsShare + hopSocketsShare + messageSocketsShare + auxiliarySocketsShare + ownSocketsShare
	if math.Abs(memory-1) > 1e-9 || math.Abs(sockets-1) > 1e-9 {
		t.Errorf("the shares of the memory add up to %v, those of the sockets to %v", memory, sockets)
	}
}

func TestPlanFitsTheMachine(t *testing.T) {
	for _, machine := range []struct{ memory, descriptors int }{{64, 4100}, {96, 256}, {184, 4100}, {284, 4100}, {536, 8192}, {4096, 1 << 16}} {
		p := newPlan(machine.memory, machine.descriptors, 1<<20)
		kernel := int64(p.FullBuffers)*fullBuffer + int64(p.Callers.Connections-p.FullBuffers)*smallBuffer + int64(p.Backlog)*backlogBuffer
		if kernel > p.Kernel {
			t.Errorf("%+v: buffers of callers can hold %d bytes, %d are planned", machine, kernel, p.Kernel)
		}
		planned := processBytes + p.Callers.Memory + p.HopBodies.Memory + int64(p.Callers.Connections)*connectionBytes + p.Kernel
		if planned > int64(machine.memory)*mebibyte {
			t.Errorf("%+v: %d bytes are planned", machine, planned)
		}
		descriptors := p.Callers.Connections + p.Hops.Connections + p.Messages.Connections + dialsPerOffer*p.Offers + auxiliaryListeners*p.Auxiliary.Connections
		if descriptors >= machine.descriptors {
			t.Errorf("%+v: %d descriptors are planned", machine, descriptors)
		}
	}
}

func TestPlanFollowsTheLimitOfTheProcess(t *testing.T) {
	own := newPlan(284, 4100, 256)
	if asked := newPlan(284, 256, 1<<20); own != asked {
		t.Errorf("%+v, %+v", own, asked)
	}
	if none := newPlan(284, 0, 256); own != none {
		t.Errorf("%+v, %+v", own, none)
	}
}

// TestOrdinaryClientsMeetNoBound has the machines of the deployments bear hundreds of ordinary
// clients, and several of the largest buffered bodies at a time.
func TestOrdinaryClientsMeetNoBound(t *testing.T) {
	const clients, largestBody, bodies = 400, mebibyte, 16
	for _, memory := range []int{184, 284, 536} {
		p := newPlan(memory, 4100, 1<<20)
		if p.Callers.Connections < clients || p.Callers.Memory < bodies*largestBody || p.HopBodies.Memory < bodies*largestBody {
			t.Errorf("%d MiB: %+v", memory, p)
		}
	}
}
