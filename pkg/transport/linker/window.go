package linker

import "github.com/pkg/errors"

// sendWindow decides, at the end of a tunnel that asked for it, how many bytes may be sent and
// whether the destination has got them. It is not safe for concurrent use.
type sendWindow struct {
	reports bool // whether the process between sends reports
	// sent, written and acknowledged count bytes: those sent to the process between, those that
	// its connection to the destination has taken, and those that the destination had
	// acknowledged when it ended its connection.
	sent, written, acknowledged int64
	ended                       bool // whether the destination has ended its connection
}

// reserve returns how many of the wanted bytes may be sent now, and counts them as sent.
func (w *sendWindow) reserve(wanted int) int {
	n := min(wanted, tunnelBufferBytes)
	if w.reports {
		n = min(n, int(tunnelWindowBytes-(w.sent-w.written)))
	}
	w.sent += int64(n)
	return n
}

// apply applies a report.
func (w *sendWindow) apply(r report) error {
	if r.written > w.sent {
		return errors.Errorf("%d bytes were written of %d that were sent", r.written, w.sent)
	}
	w.written = max(w.written, r.written)
	if r.ended {
		w.ended, w.acknowledged = true, max(w.acknowledged, r.written)
	}
	return nil
}

// taken reports whether the connection to the destination has taken all bytes sent. A process
// between that sends no reports passes on few bytes at once.
func (w *sendWindow) taken() bool {
	if !w.reports {
		return w.sent <= maxUnconfirmedBytes
	}
	return w.written == w.sent
}

// delivered reports whether the destination has ended its connection in an orderly way, and had
// got all bytes sent.
func (w *sendWindow) delivered() bool {
	if !w.reports {
		return w.ended && w.taken()
	}
	return w.ended && w.acknowledged == w.sent
}

// forwardQueue holds, at the end of a tunnel that opened the connection to the destination, the
// bytes that the connection has not taken. It is not safe for concurrent use.
type forwardQueue struct {
	reports bool // whether the peer understands reports
	pending []byte
	// taken, written and reported count bytes of the peer: those that have arrived, those that
	// the connection to the destination has taken, and those that the peer knows to be written.
	taken, written, reported int64
}

// isFull reports whether a peer that understands no reports has to wait.
func (q *forwardQueue) isFull() bool { return q.taken-q.written >= tunnelWindowBytes }

// add adds bytes of the peer. A peer that understands reports must not exceed the window.
func (q *forwardQueue) add(data []byte) error {
	if q.reports && q.taken+int64(len(data))-q.written > tunnelWindowBytes {
		return errors.New("the peer has sent more than it may")
	}
	q.pending = append(q.pending, data...)
	q.taken += int64(len(data))
	return nil
}

// next removes and returns the bytes that are to be written.
func (q *forwardQueue) next() []byte {
	data := q.pending
	q.pending = nil
	return data
}

// isWritten reports whether the connection to the destination has taken all bytes.
func (q *forwardQueue) isWritten() bool { return q.written == q.taken }

// isReportDue reports whether the peer has to learn what was written, though the destination has
// sent nothing with which it could.
func (q *forwardQueue) isReportDue() bool {
	return q.reports && q.written-q.reported >= tunnelWindowBytes/2
}

// report returns the report that goes with bytes of the destination.
func (q *forwardQueue) report(data []byte) report {
	q.reported = q.written
	return report{data: data, written: q.written}
}
