package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of processor time in /proc; Linux fixes it for user space.
const clockTick = 10 * time.Millisecond

// Usage is the processor time and memory of a process.
type Usage struct {
	// Processor is the processor time since the start, in user and kernel mode.
	Processor time.Duration
	// Resident is the resident memory in bytes.
	Resident uint64
}

// Positions in /proc/<pid>/stat, counted after the command name.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
)

// UsageOf reads the usage of a process. It fails with ErrUsage.
func UsageOf(pid int) (Usage, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, ErrUsage.Wrap(err, "process %d", pid)
	}
	fields := bytes.Fields(content[bytes.LastIndexByte(content, ')')+1:])
	if len(fields) <= statResident {
		return Usage{}, ErrUsage.New("process %d: too few fields in its stat file", pid)
	}
	var numbers [3]uint64
	for i, position := range [3]int{statUserTime, statSystemTime, statResident} {
		if numbers[i], err = strconv.ParseUint(string(fields[position]), 10, 64); err != nil {
			return Usage{}, ErrUsage.Wrap(err, "process %d", pid)
		}
	}
	return Usage{
		Processor: time.Duration(numbers[0]+numbers[1]) * clockTick,
		Resident:  numbers[2] * uint64(os.Getpagesize()),
	}, nil
}

// Usage reads the usage of a running process. It fails with ErrUsage.
func (p *Process) Usage() (Usage, error) { return UsageOf(p.PID()) }
