package hosted

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// settingsFile is a settings file that holds a duration, the grace period. It counts how often
// it was parsed.
type settingsFile struct {
	path   string
	parsed atomic.Int32
}

func newSettingsFile(t *testing.T) *settingsFile {
	return &settingsFile{path: filepath.Join(t.TempDir(), "settings")}
}

func (f *settingsFile) write(t *testing.T, content string) {
	t.Helper()
	if err := os.WriteFile(f.path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (f *settingsFile) parse(content []byte) (Settings, error) {
	f.parsed.Add(1)
	grace, err := time.ParseDuration(string(content))
	if err != nil {
		return Settings{}, errors.New("invalid")
	}
	return Settings{Instance: string(content), StopGrace: grace}, nil
}

// TestSettingsFileChangesWithoutSignal checks that a change of the settings file takes effect
// without a signal, that its unchanged content is parsed once, and that a file that is invalid
// or missing changes nothing.
func TestSettingsFileChangesWithoutSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := newSettingsFile(t)
		file.write(t, "8s")
		f := newSettingsFollower(Settings{Instance: "8s", StopGrace: 8 * time.Second}, SettingsFile{file.path, file.parse})
		go func() { _ = f.Run(t.Context()) }() // ends with the test
		time.Sleep(settingsPollInterval / 2)
		for _, step := range []struct {
			content string
			grace   time.Duration
			parsed  int32
		}{{"8s", 8 * time.Second, 1}, {"5s", 5 * time.Second, 2}, {"", 5 * time.Second, 3}, {"half", 5 * time.Second, 4}, {"4s", 4 * time.Second, 5}} {
			file.write(t, step.content)
			time.Sleep(3 * settingsPollInterval)
			if got := f.Current().StopGrace; got != step.grace || file.parsed.Load() != step.parsed {
				t.Errorf("with %q in the file: grace %s after %d parses, want %s and %d", step.content, got, file.parsed.Load(), step.grace, step.parsed)
			}
		}
		if err := os.Remove(file.path); err != nil {
			t.Fatal(err)
		}
		if got := f.Refresh().StopGrace; got != 4*time.Second {
			t.Errorf("without a file: grace %s, want 4s", got)
		}
		file.write(t, "3s")
		if got := f.Refresh(); got.StopGrace != 3*time.Second || got.Instance != "8s" {
			t.Errorf("got grace %s for instance %s at once, want 3s and the instance as it started", got.StopGrace, got.Instance)
		}
	})
}

// TestChangedSettingsAreNamed checks that the fields of a change are named with both values.
func TestChangedSettingsAreNamed(t *testing.T) {
	got := changedFields(Settings{Instance: "a", StopGrace: 8 * time.Second}, Settings{Instance: "a", StopGrace: 5 * time.Second, RetryBurst: 2})
	if want := []string{"StopGrace 8s to 5s", "RetryBurst 0 to 2"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
