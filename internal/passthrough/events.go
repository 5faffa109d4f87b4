package passthrough

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errLongEvent is returned if an event is longer than maxEventBytes.
var errLongEvent = errors.New("event of the stream is too long")

// event is one complete event with its bytes as sent by the engine.
type event struct {
	raw []byte
	// id is the event's ID; empty if it has none.
	id string
	// data reports whether the event has data. Comments, empty lines and other fields alone
	// are no progress of the answer.
	data bool
}

// eventReader splits a stream into complete events.
type eventReader struct{ in *bufio.Reader }

func newEventReader(in io.Reader) *eventReader { return &eventReader{bufio.NewReader(in)} }

// next returns the next event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		start := len(e.raw)
		if err := r.appendLine(&e); err != nil {
			return event{}, err
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		switch field, value, _ := bytes.Cut(line, []byte(":")); string(field) {
		case "data":
			e.data = true
		case "id":
			e.id = string(bytes.TrimSpace(value))
		}
	}
}

// appendLine appends the next line to an event.
func (r *eventReader) appendLine(e *event) error {
	for {
		part, err := r.in.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case len(e.raw) > maxEventBytes:
			return errLongEvent
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}
