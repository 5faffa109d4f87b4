package deployment

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/banyanroute/banyanroute/internal/wire"
)

// maxPackedBytes bounds the size of an update after decompression; the store's rows are smaller.
const maxPackedBytes = 64 << 20

// pack returns an update in compressed form. A configuration of a thousand routes takes most of a
// second of a slow link when it is passed on to a dozen instances, and compresses to a small part.
func pack(u Update) ([]byte, error) {
	data, err := cbor.Marshal(u)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return packed.Bytes(), nil
}

// unpack returns the update that pack has compressed on the instance source.
func unpack(packed []byte, source string) (Update, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPackedBytes+1))
	if err != nil {
		return Update{}, trace.BadParameter("decompressing an update: %v", err)
	}
	if len(data) > maxPackedBytes {
		return Update{}, trace.LimitExceeded("decompressing an update: it has more than %d bytes", maxPackedBytes)
	}
	var u Update
	return u, trace.Wrap(wire.Unmarshal(data, &u, source), "decoding a compressed update")
}

// packedUpdate is a compressed snapshot of what a Follower knows at a version.
type packedUpdate struct {
	version uint64
	data    []byte
}

// packedSnapshot returns a compressed snapshot that is at least as new as version. All calls for one
// version share it, so that a relay compresses a change once.
func (f *Follower) packedSnapshot(version uint64) ([]byte, error) {
	f.packing.Lock()
	defer f.packing.Unlock()
	if f.packed.version == version {
		return f.packed.data, nil
	}
	data, err := pack(f.snapshot())
	if err != nil {
		return nil, err
	}
	f.packed = packedUpdate{version, data}
	return data, nil
}
