// Package startup keeps a signal that arrives while the program starts from ending it.
package startup

import (
	"os/signal"
	"syscall"
)

// A SIGHUP says that the settings file has changed. Until a reload is handled the file has not been
// read, or is followed without signals, so nothing is lost by ignoring it; by default it ends the
// process. This package imports little, so it is initialised before most others.
func init() { signal.Ignore(syscall.SIGHUP) }
