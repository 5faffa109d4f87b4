package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// ErrStreamEnded means that a stream ended without its end marker.
var ErrStreamEnded = errors.New("stream ended without its end marker")

// endMarker is the data of the last event of a complete stream.
const endMarker = "[DONE]"

// errorEvent is the type of the event with which an engine ends a failed stream.
const errorEvent = "error"

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Event is one server-sent event of a generation stream.
type Event struct {
	// Position counts the chunks of the answer from 1; zero if the engine
	// sent no ID.
	Position uint64
	// Data is the chunk's JSON; valid until the next call of Next.
	Data []byte
	// End marks the stream's end marker; Data is empty.
	End bool
}

// EventReader reads server-sent events. Comments and unknown fields are
// skipped; multi-line data is joined with newlines, as the standard requires.
type EventReader struct {
	scanner *bufio.Scanner
	data    []byte
}

// NewEventReader returns a reader over a stream's body.
func NewEventReader(r io.Reader) *EventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &EventReader{scanner: scanner}
}

// Next returns the next event. It returns ErrStreamEnded if the stream ends
// without its end marker, and ErrLost if the connection or the engine fails.
func (r *EventReader) Next() (Event, error) {
	r.data = r.data[:0]
	var event Event
	hasData, isError := false, false
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if hasData && isError {
				return Event{}, fmt.Errorf("%w: the engine reports %s", ErrLost, r.data)
			}
			if hasData {
				return finishEvent(event, r.data), nil
			}
			event = Event{}
			continue
		}
		field, value := splitField(line)
		switch field {
		case "id":
			position, err := strconv.ParseUint(value, 10, 64)
			if err != nil {
				return Event{}, fmt.Errorf("%w: bad event ID %q", ErrLost, value)
			}
			event.Position = position
		case "event":
			isError = value == errorEvent
		case "data":
			r.appendData(value, hasData)
			hasData = true
			if len(r.data) > maxEventBytes {
				return Event{}, fmt.Errorf("%w: event is too long", ErrLost)
			}
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, fmt.Errorf("%w: %w", ErrLost, err)
	}
	return Event{}, ErrStreamEnded
}

// appendData appends one data field; hasData reports whether the event already
// has one.
func (r *EventReader) appendData(value string, hasData bool) {
	if hasData {
		r.data = append(r.data, '\n')
	}
	r.data = append(r.data, value...)
}

func finishEvent(event Event, data []byte) Event {
	if string(data) == endMarker {
		event.End = true
		return event
	}
	event.Data = data
	return event
}

// splitField splits "field: value"; the field of a comment is empty.
func splitField(line []byte) (field, value string) {
	line = bytes.TrimSuffix(line, []byte{'\r'})
	name, rest, _ := bytes.Cut(line, []byte{':'})
	rest = bytes.TrimPrefix(rest, []byte{' '})
	return string(name), string(rest)
}
