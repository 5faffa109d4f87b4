package graceful

import "golang.org/x/sys/unix"

const (
	// otherDescriptors is the part of a process's descriptors, as a divisor, that is not for callers: it
	// is for links, store, operators and readiness checks.
	otherDescriptors = 4
	// defaultDescriptors applies if neither the settings nor the system bound the descriptors.
	defaultDescriptors = 4096
	// maxDescriptors is the largest limit of the system that counts as one.
	maxDescriptors = 1 << 30
)

// Descriptors returns the number of descriptors that the process may open: the lower of what the settings
// state, 0 for nothing, and what the system allows.
func Descriptors(stated int) int {
	var system unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &system) == nil && system.Cur <= maxDescriptors {
		if stated <= 0 || int(system.Cur) < stated {
			stated = int(system.Cur)
		}
	}
	if stated <= 0 {
		return defaultDescriptors
	}
	return stated
}

// CallersConnections returns how many connections of callers a process with that many descriptors may have,
// if each needs another one to an upstream.
func CallersConnections(descriptors int) int { return (descriptors - descriptors/otherDescriptors) / 2 }
