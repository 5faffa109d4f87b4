package catalogue

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/banyanroute/banyanroute/internal/peer"
	"github.com/banyanroute/banyanroute/internal/wire"
)

// Topics of the messages about the catalogue between instances.
const (
	// topicOffer announces a new revision to all instances.
	topicOffer peer.Topic = "catalogue/offer"
	// topicFetch requests the changes after a revision.
	topicFetch peer.Topic = "catalogue/fetch"
	// topicPage requests one page of a whole catalogue.
	topicPage peer.Topic = "catalogue/page"
)

// Bounds of messages.
const (
	// maxInlineBytes is the estimated size up to which a change is sent inside
	// an offer; longer ones are fetched.
	maxInlineBytes = 2 << 10
	// maxFetchBytes and maxPageBytes bound the estimated size of an answer
	// with more than one change or record.
	maxFetchBytes = 128 << 10
	maxPageBytes  = 128 << 10
)

// offer announces a new revision.
type offer struct {
	Revision Revision `cbor:"1,keyasint"`
	Digest   Digest   `cbor:"2,keyasint"`
	// Change is the change that made the revision, if it is short.
	Change *Change `cbor:"3,keyasint,omitempty"`
}

// fetchRequest requests the changes after the caller's revision.
type fetchRequest struct {
	Revision Revision `cbor:"1,keyasint"`
	Digest   Digest   `cbor:"2,keyasint"`
}

// fetchAnswer holds the next changes. If there are none and Revision is higher
// than the caller's, the caller is too far behind and fetches pages.
type fetchAnswer struct {
	Revision Revision `cbor:"1,keyasint"`
	Digest   Digest   `cbor:"2,keyasint"`
	Changes  []Change `cbor:"3,keyasint,omitempty"`
}

// pageRequest requests the records after a key, in ascending order.
type pageRequest struct {
	After string `cbor:"1,keyasint"`
}

// pageAnswer is one page of the catalogue at a revision. The last page has no
// Next.
type pageAnswer struct {
	Revision Revision `cbor:"1,keyasint"`
	Digest   Digest   `cbor:"2,keyasint"`
	Records  []Record `cbor:"3,keyasint,omitempty"`
	Next     string   `cbor:"4,keyasint,omitempty"`
}

// encoder and decoder are the CBOR modes of all messages.
var (
	encoder = mustBuildMode(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	decoder = wire.New(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 10,
	})
)

func mustBuildMode[M any](mode M, err error) M {
	if err != nil {
		panic(fmt.Sprintf("building CBOR mode: %v", err))
	}
	return mode
}

// forPeers returns the change without the Before records, which only the stored
// history needs.
func (c Change) forPeers() Change {
	updates := make([]Update, len(c.Updates))
	for i, u := range c.Updates {
		updates[i] = Update{Key: u.Key, After: u.After}
	}
	c.Updates = updates
	return c
}

// encode returns the CBOR form of a message. It panics on an error, since all
// types of this package can be encoded.
func encode(message any) []byte {
	data, err := encoder.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("encoding %T: %v", message, err))
	}
	return data
}

// decodeOffer decodes and checks an offer.
func decodeOffer(from string, data []byte) (offer, error) {
	var o offer
	if err := decoder.Unmarshal(data, &o, from); err != nil {
		return o, err
	}
	if o.Change == nil {
		return o, nil
	}
	if o.Change.Revision != o.Revision || o.Change.Digest != o.Digest {
		return o, fmt.Errorf("offer of revision %d holds change %d", o.Revision, o.Change.Revision)
	}
	return o, o.Change.decode()
}

// decodeFetchAnswer decodes and checks an answer.
func decodeFetchAnswer(from string, data []byte) (fetchAnswer, error) {
	var a fetchAnswer
	if err := decoder.Unmarshal(data, &a, from); err != nil {
		return a, err
	}
	for i := range a.Changes {
		if err := a.Changes[i].decode(); err != nil {
			return a, err
		}
	}
	return a, nil
}

// decodePageAnswer decodes and checks a page.
func decodePageAnswer(from string, data []byte) (pageAnswer, error) {
	var a pageAnswer
	if err := decoder.Unmarshal(data, &a, from); err != nil {
		return a, err
	}
	for i := range a.Records {
		if err := a.Records[i].decode(); err != nil {
			return a, err
		}
	}
	return a, nil
}
