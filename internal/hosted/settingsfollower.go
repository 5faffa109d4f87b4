package hosted

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"os"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/panics"
	"github.com/banyanroute/banyanroute/internal/sleep"
)

// SettingsFile is the file that holds the settings.
type SettingsFile struct {
	Path string
	// Parse returns the settings in the content of the file.
	Parse func([]byte) (Settings, error)
}

// settingsPollInterval is the interval at which the settings file is read: it may change
// without a signal.
const settingsPollInterval = time.Second

// settingsFollower keeps the settings in force up to date with the settings file.
type settingsFollower struct {
	file    SettingsFile
	current atomic.Pointer[Settings]

	mu sync.Mutex
	// content is what the file held when it was last read, readError why it was not.
	content   []byte
	readError string
	// valid reports whether the settings in content are in force.
	valid bool
}

// newSettingsFollower returns a follower that starts with s, the settings at the start of the
// process.
func newSettingsFollower(s Settings, file SettingsFile) *settingsFollower {
	f := &settingsFollower{file: file}
	f.current.Store(&s)
	return f
}

// Current returns the settings in force. Those that a running process cannot adopt are as they
// were at its start.
func (f *settingsFollower) Current() Settings { return *f.current.Load() }

// Refresh reads the settings file now and returns the settings in force. A file that is
// missing or invalid changes nothing.
func (f *settingsFollower) Refresh() Settings {
	if f.file.Parse == nil {
		return f.Current()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	content, err := os.ReadFile(f.file.Path)
	if err != nil {
		if err = trace.ConvertSystemError(err); err.Error() != f.readError {
			log.WithError(err).Error("settings file not read; active settings unchanged")
		}
		f.readError = err.Error()
		return f.Current()
	}
	f.readError = ""
	if !bytes.Equal(content, f.content) {
		f.content = content
		f.adopt(content)
	}
	return f.Current()
}

// FollowsFile reports whether the file was there and valid when it was last read.
func (f *settingsFollower) FollowsFile() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.valid && f.readError == ""
}

// adopt puts the settings in content into force.
func (f *settingsFollower) adopt(content []byte) {
	read, err := f.file.Parse(content)
	f.valid = err == nil
	if err != nil {
		log.WithError(err).WithField("path", f.file.Path).Error("settings file invalid; active settings unchanged")
		return
	}
	before := f.Current()
	after := before.adopting(read)
	f.current.Store(&after)
	effective, restart := changedFields(before, after), changedFields(after, read)
	if len(effective) > 0 || len(restart) > 0 {
		log.WithField("effective", effective).WithField("need_restart", restart).Info("settings file changed")
	}
}

// Run polls the settings file until ctx ends.
func (f *settingsFollower) Run(ctx context.Context) error {
	return sleep.Every(ctx, settingsPollInterval, panics.Guard(log, func() { f.Refresh() }))
}

// adopting returns s with the settings of a newer file that a running process can adopt. A time
// that the newer file does not state is kept.
func (s Settings) adopting(newer Settings) Settings {
	s.StopGrace = cmp.Or(newer.StopGrace, s.StopGrace)
	s.ApplyTimeout = cmp.Or(newer.ApplyTimeout, s.ApplyTimeout)
	s.EvacuationBound = cmp.Or(newer.EvacuationBound, s.EvacuationBound)
	s.UpstreamHeartbeat = cmp.Or(newer.UpstreamHeartbeat, s.UpstreamHeartbeat)
	s.MaxIdleHold = cmp.Or(newer.MaxIdleHold, s.MaxIdleHold)
	if newer.ColdOverage > 0 {
		s.ColdOverage, s.ColdSlack = newer.ColdOverage, newer.ColdSlack
	}
	if newer.RetryWindow > 0 {
		s.RetryRatio, s.RetryWindow, s.RetryBurst = newer.RetryRatio, newer.RetryWindow, newer.RetryBurst
	}
	return s
}

// changedFields describes the fields in which two settings differ.
func changedFields(before, after Settings) []string {
	changed := []string{}
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		if old, now := b.Field(i).Interface(), a.Field(i).Interface(); old != now {
			changed = append(changed, fmt.Sprintf("%s %v to %v", b.Type().Field(i).Name, old, now))
		}
	}
	return changed
}
