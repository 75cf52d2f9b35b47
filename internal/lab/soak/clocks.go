package soak

import (
	"context"
	"time"
)

// clockJumps are the jumps of a machine's time of day.
var clockJumps = []time.Duration{-2400 * time.Millisecond, 2400 * time.Millisecond, 8 * time.Second}

// foreignSequence is how far another writer counts, by the time of day in milliseconds.
const foreignSequence = 1_790_000_000_000

// clockFault is what befalls a machine whose time of day jumps.
type clockFault struct {
	jump time.Duration
	// toStart has the clock first come back to just before the start time of the running worker.
	toStart bool
	// foreign has another writer send a heartbeat of the worker that counts far further.
	foreign bool
	// signOff has the worker leave by a sign-off alone.
	signOff bool
	// restartNode restarts the node once the leave is acknowledged, planned or by a crash.
	restartNode, planned bool
}

func (f *faults) drawClockFault() clockFault {
	return clockFault{
		jump: clockJumps[f.random.IntN(len(clockJumps))], toStart: f.random.IntN(3) == 0, foreign: f.random.IntN(3) == 0, signOff: f.random.IntN(2) == 0,
		restartNode: f.random.IntN(3) == 0, planned: f.random.IntN(2) == 0,
	}
}

// jumpClock has the time of day of a machine jump for a time, and the worker there start again while it
// is wrong and when it is right again; then it leaves. Late heartbeats of each one that has crashed come
// beside those of the next one.
func (f *faults) jumpClock(ctx context.Context, m *machine, duration time.Duration) {
	fault := f.drawClockFault()
	f.onMachine(m, "time of day jumps, with starts of the worker", func() {
		f.options.Log("%s: %+v", m.id, fault)
		m.clockError.Store(int64(fault.jump))
		f.restartWithLateHeartbeats(ctx, m)
		wait(ctx, duration)
		m.clockError.Store(0)
		if fault.toStart {
			m.clockError.Store(int64(time.Until(time.UnixMilli(m.worker.incarnation.StartedAt - 1))))
		}
		f.leaveAmongLateHeartbeats(ctx, m, fault)
		m.clockError.Store(0)
	})
}

// leaveAmongLateHeartbeats has the worker of a machine crash and start again, and the next one leave
// while heartbeats of the crashed one arrive late.
func (f *faults) leaveAmongLateHeartbeats(ctx context.Context, m *machine, fault clockFault) {
	m.worker.kill()
	crashed, err := m.startNextWorker()
	if err != nil {
		f.recordError(err)
		return
	}
	wait(ctx, 2*heartbeatInterval)
	if fault.foreign {
		m.worker.send(ctx, m, foreignSequence, false)
	}
	end := m.worker.startLeaving(ctx, fault.signOff)
	wait(ctx, heartbeatInterval)
	if fault.restartNode {
		f.restart(ctx, m, fault.planned, 0)
	}
	crashed.sendReadyHeartbeats(ctx, m, drainSlack)
	end(ctx)
	_, err = m.startNextWorker()
	f.recordError(err)
}
