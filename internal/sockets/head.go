package sockets

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"
)

// ErrMalformedAnswer is returned by connections whose peer sent bytes that are no HTTP/1 answer.
var ErrMalformedAnswer = errors.New("malformed answer")

// checkHeads returns dial with connections, each for one request, that fail with ErrMalformedAnswer
// if the head of an answer violates RFC 9112. Package net/http accepts any status of three digits,
// blanks in and before the names of fields, and chunks in HTTP/1.0, and passes such fields on or
// ignores them, so that a body is framed in another way than its sender meant.
func checkHeads(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: conn}, nil
	}
}

// dialTLS returns dial with TLS connections of the configuration and the name in the address.
func dialTLS(dial DialFunc, config *tls.Config) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		named := config.Clone()
		named.ServerName = host
		secured := tls.Client(conn, named)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close() // the error of the handshake is returned
			return nil, err
		}
		return secured, nil
	}
}

// headConn is a connection of checkHeads.
type headConn struct {
	net.Conn
	head headScanner
	// malformed is set once the peer has sent what is no answer.
	malformed error
}

// Unwrap returns the connection for which a connection of NewTransport stands.
func Unwrap(conn net.Conn) net.Conn {
	if c, ok := conn.(*headConn); ok {
		return c.Conn
	}
	return conn
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	if c.malformed != nil {
		return 0, c.malformed
	}
	n, err := c.Conn.Read(p)
	if c.malformed = c.head.scan(p[:n]); c.malformed != nil {
		return 0, c.malformed
	}
	return n, err
}

// headState is the position of a headScanner.
type headState uint8

const (
	inStatusLine headState = iota
	atLineStart
	inName
	inValue
	// afterCR and afterLastCR expect the line feed of a field and of the head's end.
	afterCR
	afterLastCR
	// inBody follows the head of the final answer.
	inBody
)

// statusLinePrefix is the length of "HTTP/1.1 200".
const statusLinePrefix = 12

// headScanner checks the heads of the answers on a connection up to that of the final answer.
type headScanner struct {
	state headState
	// line is the beginning of the status line, with one byte more than its prefix.
	line []byte
	// name is that of the current field.
	name []byte
}

// scan checks the next bytes of a connection. Its errors wrap ErrMalformedAnswer.
func (s *headScanner) scan(data []byte) error {
	for _, b := range data {
		if s.state == inBody {
			return nil
		}
		if err := s.next(b); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformedAnswer, err)
		}
	}
	return nil
}

// Errors of headScanner.
var (
	errStatusLine = errors.New("invalid status line")
	errFieldName  = errors.New("invalid field name")
	errFieldValue = errors.New("invalid field value")
	errFraming    = errors.New("transfer coding in HTTP/1.0")
)

// next checks one byte.
func (s *headScanner) next(b byte) error {
	switch s.state {
	case inStatusLine:
		return s.nextOfStatusLine(b)
	case atLineStart:
		switch b {
		case '\r':
			s.state = afterLastCR
			return nil
		case '\n':
			return s.end()
		}
		s.name, s.state = s.name[:0], inName
		return s.nextOfName(b)
	case inName:
		return s.nextOfName(b)
	case inValue:
		return s.nextOfValue(b)
	case afterCR:
		if b != '\n' {
			return errFieldValue
		}
		s.state = atLineStart
		return nil
	case afterLastCR:
		if b != '\n' {
			return errFieldName
		}
		return s.end()
	}
	return nil
}

// nextOfStatusLine checks a byte of the status line. Text after the status is not checked, since
// nobody reads it.
func (s *headScanner) nextOfStatusLine(b byte) error {
	if b != '\n' {
		if len(s.line) <= statusLinePrefix {
			s.line = append(s.line, b)
		}
		return nil
	}
	line := strings.TrimSuffix(string(s.line), "\r")
	if len(line) < statusLinePrefix || !strings.HasPrefix(line, "HTTP/1.") || !isDigit(line[7]) || line[8] != ' ' ||
		len(line) > statusLinePrefix && line[statusLinePrefix] != ' ' {
		return errStatusLine
	}
	// No request asks for another protocol, so none is switched to.
	if line[9] < '1' || line[9] > '5' || !isDigit(line[10]) || !isDigit(line[11]) || s.status() == "101" {
		return errStatusLine
	}
	s.state = atLineStart
	return nil
}

// status returns the status code.
func (s *headScanner) status() string { return string(s.line[9:statusLinePrefix]) }

// nextOfName checks a byte of a field's name, or the colon after it. A line that begins with a blank,
// which once continued the line before, has no valid name.
func (s *headScanner) nextOfName(b byte) error {
	if b != ':' {
		if !isTokenByte(b) {
			return errFieldName
		}
		if len(s.name) <= len(transferEncoding) {
			s.name = append(s.name, b)
		}
		return nil
	}
	if len(s.name) == 0 {
		return errFieldName
	}
	if s.line[7] == '0' && strings.EqualFold(string(s.name), transferEncoding) {
		return errFraming
	}
	s.state = inValue
	return nil
}

// nextOfValue checks a byte of a field's value, or of the end of its line.
func (s *headScanner) nextOfValue(b byte) error {
	switch {
	case b == '\r':
		s.state = afterCR
	case b == '\n':
		s.state = atLineStart
	case b < ' ' && b != '\t' || b == 0x7f:
		return errFieldValue
	}
	return nil
}

// transferEncoding is the name of the field that HTTP/1.0 doesn't know.
const transferEncoding = "Transfer-Encoding"

// end ends the head of one answer.
func (s *headScanner) end() error {
	if s.line[9] == '1' {
		*s = headScanner{line: s.line[:0], name: s.name[:0]} // another answer follows
		return nil
	}
	*s = headScanner{state: inBody}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isTokenByte reports whether a byte may stand in a field's name (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return isDigit(b) || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
