package telemetry

import (
	"fmt"
	"os"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// KeepCrashes has what the runtime says of a crash of the process, a panic that nothing contains or a
// fatal error, written to the file with the events of the node: standard error may be kept apart from
// it, or not at all. Standard error as it was gets a copy of the stacks.
func KeepCrashes(events *os.File) error {
	if sameFile(events, os.Stderr) {
		return nil
	}
	destination, err := neverBlocking(events)
	if err != nil {
		return err
	}
	defer func() { _ = destination.Close() }()
	former, err := redirectStandardError(destination)
	if err != nil {
		return err
	}
	// The runtime has a copy of its own.
	defer func() { _ = former.Close() }()
	return debug.SetCrashOutput(former, debug.CrashOptions{})
}

func sameFile(a, b *os.File) bool {
	first, err := a.Stat()
	if err != nil {
		return false
	}
	second, err := b.Stat()
	return err == nil && os.SameFile(first, second)
}

// neverBlocking returns another descriptor of a file. Where that is a pipe, writing to the descriptor fails
// when the pipe is full: a process that crashes must end although nobody reads its events any more.
func neverBlocking(file *os.File) (*os.File, error) {
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if info.Mode()&os.ModeNamedPipe != 0 {
		path := fmt.Sprintf("/proc/self/fd/%d", file.Fd())
		if descriptor, err := unix.Open(path, unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0); err == nil {
			return os.NewFile(uintptr(descriptor), file.Name()), nil
		}
	}
	descriptor, err := unix.FcntlInt(file.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("fcntl", err)
	}
	return os.NewFile(uintptr(descriptor), file.Name()), nil
}

// redirectStandardError makes standard error go to a file, and returns where it went before.
func redirectStandardError(to *os.File) (*os.File, error) {
	descriptor := int(os.Stderr.Fd())
	former, err := unix.FcntlInt(uintptr(descriptor), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("fcntl", err)
	}
	if err := unix.Dup3(int(to.Fd()), descriptor, 0); err != nil {
		_ = unix.Close(former)
		return nil, os.NewSyscallError("dup3", err)
	}
	return os.NewFile(uintptr(former), os.Stderr.Name()), nil
}
