package exchanger

import (
	"io"

	"github.com/pkg/errors"
)

// maxHeadBytes limits the status line and the header of a response. Without a limit, a
// target that never ends its header would fill the memory of the router.
const maxHeadBytes = 64 << 10

// errHeadTooLarge means that the head of a response exceeds maxHeadBytes.
var errHeadTooLarge = errors.Errorf("the head of a response exceeds %d bytes", maxHeadBytes)

// headLimiter reads from a connection and limits the size of response heads. Bodies are
// not limited: their readers keep nothing.
type headLimiter struct {
	source io.Reader
	inHead bool
	left   int
}

// beginHead limits what is read until endHead.
func (l *headLimiter) beginHead() { l.inHead, l.left = true, maxHeadBytes }

// endHead lifts the limit.
func (l *headLimiter) endHead() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.source.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
