// Package logging gives each part of a process a logger with a fixed prefix.
package logging

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// root is the process's logger; For derives all others from it.
var root = logrus.New()

// Setup sets the output and the level ("debug", "info", "warning", "error")
// of all loggers, which write text lines. It returns an error for an unknown level.
func Setup(out io.Writer, level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return err
	}
	root.SetOutput(out)
	root.SetLevel(parsed)
	root.SetFormatter(prefixFormatter{&logrus.TextFormatter{FullTimestamp: true, DisableColors: true}})
	return nil
}

// SetupStructured makes all loggers write one JSON object per line, without ever
// waiting for out. The caller closes the returned writer before the process exits.
func SetupStructured(out io.Writer, level string) (*BoundedWriter, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	bounded := NewBoundedWriter(out)
	root.SetOutput(bounded)
	root.SetLevel(parsed)
	root.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return bounded, nil
}

// partKey is the field that holds a logger's prefix.
const partKey = "part"

// For returns the logger of one part, for example "catalogue"; in text form each
// of its messages starts with "catalogue: ".
func For(part string) *logrus.Entry { return root.WithField(partKey, part) }

// prefixFormatter moves the part from the fields to the front of the message.
type prefixFormatter struct{ next logrus.Formatter }

// Format implements logrus.Formatter.
func (f prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	part, ok := e.Data[partKey].(string)
	if !ok {
		return f.next.Format(e)
	}
	c := *e
	c.Data = make(logrus.Fields, len(e.Data))
	for k, v := range e.Data {
		if k != partKey {
			c.Data[k] = v
		}
	}
	c.Message = part + ": " + e.Message
	return f.next.Format(&c)
}
