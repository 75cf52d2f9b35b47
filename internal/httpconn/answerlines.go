package httpconn

import "sync/atomic"

// lineBits is the room for the number of a line beside that of a use, in bits.
const lineBits = 16

// answerLines follows the heads of the answers on a connection. One goroutine at a time reads a
// connection, and others ask what it has found: the next request may have the connection by then.
type answerLines struct {
	// use is the one whose answer is being read.
	use   Use
	lines HeadLines
	// complete is the last use whose final head was read from its first byte to its end.
	complete atomic.Uint64
	// folded is the first use with a folded line, above the number of that line; zero when there is none.
	folded atomic.Uint64
}

// follow is called with what was read while the given use was current.
func (a *answerLines) follow(use Use, p []byte) {
	if a.use != use {
		a.use, a.lines = use, HeadLines{}
	}
	if a.lines.state == lineEnded {
		return
	}
	a.lines.Follow(p)
	if a.lines.complete {
		a.complete.Store(uint64(use))
	}
	if a.lines.folded > 0 {
		line := min(a.lines.folded, 1<<lineBits-1)
		a.folded.CompareAndSwap(0, uint64(use)<<lineBits+uint64(line))
	}
}

// checkFolded returns an error when a line of the answer to a use, or to an earlier one, is folded.
func (a *answerLines) checkFolded(use Use) error {
	found := a.folded.Load()
	if found == 0 || found>>lineBits > uint64(use) {
		return nil
	}
	return ErrInvalidAnswer.New("line %d of the head is folded", found&(1<<lineBits-1))
}

// check returns an error when the final head of the answer to a use has a folded line, or began before
// the request.
func (a *answerLines) check(use Use) error {
	if err := a.checkFolded(use); err != nil {
		return err
	}
	if a.complete.Load() < uint64(use) {
		return ErrInvalidAnswer.New("the answer began before its request")
	}
	return nil
}
