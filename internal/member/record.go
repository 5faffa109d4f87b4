package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
)

// status is the state of an instance in a record.
type status uint8

const (
	statusAlive status = iota
	statusSuspect
	statusDead
)

// record is the gossiped state of one instance. Of two records with the same ID,
// the one with the higher version (Incarnation, Seq) wins; at the same version,
// the higher status wins and Leaving is sticky.
type record struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	// Seq is incremented only by the instance itself, to refute a suspicion.
	Seq        uint64
	Status     status
	Leaving    bool
	Address    string
	DataCentre string
	Region     string
	Capacity   uint32
}

func recordOf(m peer.Member) record {
	return record{
		ID:          m.ID,
		Incarnation: m.Incarnation,
		Leaving:     m.Leaving,
		Address:     m.Address,
		DataCentre:  m.DataCentre,
		Region:      m.Region,
		Capacity:    m.Capacity,
	}
}

// valid reports whether a record from another instance can be used.
func (r record) valid() bool {
	return r.ID != "" && r.Address != "" && r.Status <= statusDead
}

func (r record) member() peer.Member {
	return peer.Member{
		ID:          r.ID,
		Incarnation: r.Incarnation,
		Address:     r.Address,
		DataCentre:  r.DataCentre,
		Region:      r.Region,
		Leaving:     r.Leaving,
		Capacity:    r.Capacity,
	}
}

// newerThan reports whether the record's version is higher than o's.
func (r record) newerThan(o record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Seq > o.Seq
}

func (r record) sameVersion(o record) bool {
	return r.Incarnation == o.Incarnation && r.Seq == o.Seq
}

// checksum returns a hash of the ID and the fields that change; the digest of a
// table is the XOR of its records' checksums. A dead record has checksum 0, since
// instances remove the dead at different times.
func (r record) checksum() uint64 {
	if r.Status == statusDead {
		return 0
	}
	var buf [18]byte
	binary.LittleEndian.PutUint64(buf[0:], r.Incarnation)
	binary.LittleEndian.PutUint64(buf[8:], r.Seq)
	buf[16] = byte(r.Status)
	if r.Leaving {
		buf[17] = 1
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.ID)
	_, _ = d.Write(buf[:])
	return d.Sum64()
}
