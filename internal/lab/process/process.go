package process

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// maxLine is the limit of one line of output, in bytes. A longer line ends the reading of lines;
// the rest of the output is discarded.
const maxLine = 1 << 20

// Options describes one program.
type Options struct {
	// Name identifies the process in reports and errors.
	Name string
	// Path is the program, and Arguments are its arguments without the program's name.
	Path      string
	Arguments []string
	// Environment is added to the lab's own environment, as "KEY=value".
	Environment []string
	// OnErrorLine is called with each line of standard error, in order, from one
	// goroutine; the slice is valid only during the call. Nil discards the lines.
	OnErrorLine func(line []byte)
	// OnOutputLine is called with each line of standard output in the same way.
	OnOutputLine func(line []byte)
	// Input, when true, gives the process a pipe as standard input.
	Input bool
}

// Process is one started program. Its methods are safe for concurrent use.
type Process struct {
	options Options
	command *exec.Cmd
	input   io.WriteCloser
	done    chan struct{}
	state   *os.ProcessState
	ending  ending
}

// Start starts a program. It fails with ErrStart.
func Start(options Options) (*Process, error) {
	command := exec.Command(options.Path, options.Arguments...)
	command.Env = append(os.Environ(), options.Environment...)
	command.SysProcAttr = &syscall.SysProcAttr{
		Setpgid:   true,
		Pdeathsig: syscall.SIGKILL,
	}
	started := &Process{options: options, command: command, done: make(chan struct{})}
	readers, err := started.attach()
	if err != nil {
		return nil, ErrStart.Wrap(err, "attach to %s", options.Name)
	}
	if err := sharedStarter.start(command); err != nil {
		return nil, ErrStart.Wrap(err, "start %s", options.Name)
	}
	go started.watch(readers)
	return started, nil
}

// lineReader is one output of a process and the function that receives its lines.
type lineReader struct {
	source io.Reader
	onLine func([]byte)
}

// attach connects pipes to both outputs, and to standard input if the options ask for it.
func (p *Process) attach() ([]lineReader, error) {
	errorOutput, err := p.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if p.options.Input {
		if p.input, err = p.command.StdinPipe(); err != nil {
			return nil, err
		}
	}
	return []lineReader{
		{errorOutput, p.onErrorLine},
		{output, p.options.OnOutputLine},
	}, nil
}

// onErrorLine is called with each line of standard error.
func (p *Process) onErrorLine(line []byte) {
	p.ending.observeLine(line)
	if p.options.OnErrorLine != nil {
		p.options.OnErrorLine(line)
	}
}

// watch reads the outputs until they end and then reaps the process.
func (p *Process) watch(readers []lineReader) {
	var reading sync.WaitGroup
	for _, reader := range readers {
		reading.Add(1)
		go func() {
			defer reading.Done()
			readLines(reader)
		}()
	}
	reading.Wait()
	_ = p.command.Wait()
	p.state = p.command.ProcessState
	close(p.done)
}

// readLines passes each line to the reader's function until the output ends.
func readLines(reader lineReader) {
	lines := bufio.NewScanner(reader.source)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	for lines.Scan() {
		if reader.onLine != nil {
			reader.onLine(lines.Bytes())
		}
	}
	_, _ = io.Copy(io.Discard, reader.source)
}

// Name returns the name given at the start.
func (p *Process) Name() string { return p.options.Name }

// PID returns the identifier of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Input returns the standard input; nil unless Options.Input was true.
func (p *Process) Input() io.Writer { return p.input }

// Done returns a channel that is closed when the process has ended and all its output was read.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code of an ended process; -1 when a signal ended
// it or when it still runs.
func (p *Process) ExitCode() int {
	select {
	case <-p.done:
		return p.state.ExitCode()
	default:
		return -1
	}
}

// Signal sends a signal; it does nothing once the process has ended.
func (p *Process) Signal(signal syscall.Signal) {
	select {
	case <-p.done:
		return
	default:
	}
	p.ending.observeSignal(signal)
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process immediately, as a crash does, and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM, and before it SIGCONT in case the process is paused. It kills the process if
// it has not ended within the bound, waits for its end and reports whether it ended by itself.
func (p *Process) Stop(bound time.Duration) bool {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		p.Kill()
		return false
	}
}
