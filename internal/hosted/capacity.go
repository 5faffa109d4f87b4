package hosted

import "github.com/banyanroute/banyanroute/internal/graceful"

// Shares of the process's descriptors and memory, as divisors. docs/design/0054 works out the worst case.
const (
	// callersMemory, linksMemory and probesMemory are the parts of the memory for connections of
	// callers, for handshakes of links, and for operators and readiness checks each.
	callersMemory = 3
	linksMemory   = 32
	probesMemory  = 64
	// linksDescriptors is the part of the descriptors that unfinished handshakes of links may take.
	linksDescriptors = 32
)

const (
	// probeConnections bounds the connections of operators, and those of readiness checks.
	probeConnections = 32
	// minConnections is the least number of connections of a listener.
	minConnections = 16
)

// callersCapacity returns the bounds of callers' connections.
func (n *Instance) callersCapacity() graceful.Capacity {
	return graceful.Capacity{
		Connections: max(graceful.CallersConnections(n.descriptors()), minConnections),
		Bytes:       n.settings.MemoryBytes / callersMemory,
		HeadBytes:   n.headBytes,
	}
}

// linksCapacity returns the bounds of connections of other instances until they are links.
func (n *Instance) linksCapacity() graceful.Capacity {
	return graceful.Capacity{
		Connections: max(n.descriptors()/linksDescriptors, minConnections),
		Bytes:       n.settings.MemoryBytes / linksMemory,
		HeadBytes:   func() int { return otherHeadBytes },
	}
}

// probesCapacity returns the bounds of connections of operators, and of those of readiness checks.
func (n *Instance) probesCapacity() graceful.Capacity {
	return graceful.Capacity{
		Connections: min(probeConnections, max(n.descriptors()/linksDescriptors, minConnections)),
		Bytes:       n.settings.MemoryBytes / probesMemory,
		HeadBytes:   func() int { return otherHeadBytes },
	}
}

// descriptors returns the number of descriptors that the process may open.
func (n *Instance) descriptors() int { return graceful.Descriptors(n.settings.FileDescriptors) }

// headBytes returns the limit of a caller's head in force.
func (n *Instance) headBytes() int {
	if config := n.state.View().Config; config != nil && config.Limits.HeaderBytes > 0 {
		return config.Limits.HeaderBytes
	}
	return maxHeaderBytes
}
