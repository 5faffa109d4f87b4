package build

import "time"

// Seen is the build of one instance, as another one knows it.
type Seen struct {
	Instance string `json:"instance"`
	// Build is empty if there has been no link to the instance since it started, and
	// Unstated if it did not name its build.
	Build string `json:"build,omitempty"`
	// Since is when the instance was first seen with that build.
	Since time.Time `json:"since,omitzero"`
}

// Unstated stands for the build of an instance that does not name it.
const Unstated = "unstated"

// View is the part of an instance's state dump that names builds.
type View struct {
	Instance string `json:"instance"`
	Build    string `json:"build"`
	// ProtocolVersion is that of the links between instances.
	ProtocolVersion int `json:"protocol_version"`
	// Builds are the builds of the members, as far as links have shown them.
	Builds []Seen `json:"builds,omitempty"`
}
