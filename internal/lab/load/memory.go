package load

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// Fields of /proc/<pid>/status, which are in kilobytes, and the units of memory figures.
const (
	residentLine = "VmRSS:"
	peakLine     = "VmHWM:"
	kilobyte     = 1024
	megabyte     = 1 << 20
)

func (n *processNode) memory() (resident, peak uint64, ok bool) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.PID()))
	if err != nil {
		return 0, 0, false
	}
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lines.Scan() {
		fields := bytes.Fields(lines.Bytes())
		if len(fields) < 2 {
			continue
		}
		value, _ := strconv.ParseUint(string(fields[1]), 10, 64)
		switch string(fields[0]) {
		case residentLine:
			resident = value * kilobyte
		case peakLine:
			peak = value * kilobyte
		}
	}
	return resident, peak, resident > 0
}

// megabytes returns a figure for the report; nil when it was not measured.
func megabytes(bytes uint64, measured bool) *float64 {
	if !measured {
		return nil
	}
	value := float64(bytes) / megabyte
	return &value
}

// loadAverage reads the load average of one minute; nil where there is none.
func loadAverage() *float64 {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return nil
	}
	first, _, _ := bytes.Cut(content, []byte(" "))
	value, err := strconv.ParseFloat(string(first), 64)
	if err != nil {
		return nil
	}
	return &value
}
