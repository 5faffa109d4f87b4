package hosted

import (
	"golang.org/x/sys/unix"

	"github.com/banyanroute/banyanroute/internal/graceful"
)

// Shares of the process's descriptors and memory, as divisors. docs/design/0054 works out the worst case.
const (
	// otherDescriptors is the part of the descriptors that is for links, store, operators and readiness
	// checks. The rest is for callers: half of it for their connections, half for those to upstreams.
	otherDescriptors = 4
	// linksDescriptors is the part that unfinished handshakes of links may take.
	linksDescriptors = 32
	// callersMemory, linksMemory and probesMemory are the parts of the memory for connections of
	// callers, for handshakes of links, and for operators and readiness checks each.
	callersMemory = 3
	linksMemory   = 32
	probesMemory  = 64
)

const (
	// probeConnections bounds the connections of operators, and those of readiness checks.
	probeConnections = 32
	// minConnections is the least number of connections of a listener.
	minConnections = 16
	// defaultDescriptors applies if neither the settings nor the system bound the descriptors.
	defaultDescriptors = 4096
)

// descriptors returns the number of descriptors that the process may open: the least of what the settings
// state and the system allows.
func descriptors(s Settings) int {
	limit := s.FileDescriptors
	var system unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &system) == nil && system.Cur < 1<<31 {
		if limit <= 0 || int(system.Cur) < limit {
			limit = int(system.Cur)
		}
	}
	if limit <= 0 {
		return defaultDescriptors
	}
	return limit
}

// callersCapacity returns the bounds of callers' connections.
func (n *Instance) callersCapacity() graceful.Capacity {
	open := descriptors(n.settings)
	return graceful.Capacity{
		Connections: max((open-open/otherDescriptors)/2, minConnections),
		Bytes:       n.settings.MemoryBytes / callersMemory,
		HeadBytes:   n.headBytes,
	}
}

// linksCapacity returns the bounds of connections of other instances until they are links.
func (n *Instance) linksCapacity() graceful.Capacity {
	return graceful.Capacity{
		Connections: max(descriptors(n.settings)/linksDescriptors, minConnections),
		Bytes:       n.settings.MemoryBytes / linksMemory,
		HeadBytes:   func() int { return otherHeadBytes },
	}
}

// probesCapacity returns the bounds of connections of operators, and of those of readiness checks.
func (n *Instance) probesCapacity() graceful.Capacity {
	return graceful.Capacity{
		Connections: min(probeConnections, max(descriptors(n.settings)/linksDescriptors, minConnections)),
		Bytes:       n.settings.MemoryBytes / probesMemory,
		HeadBytes:   func() int { return otherHeadBytes },
	}
}

// headBytes returns the limit of a caller's head in force.
func (n *Instance) headBytes() int {
	if config := n.state.View().Config; config != nil && config.Limits.HeaderBytes > 0 {
		return config.Limits.HeaderBytes
	}
	return maxHeaderBytes
}
