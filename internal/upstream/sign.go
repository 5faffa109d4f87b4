package upstream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Sign returns a copy of o that is signed with the deployment's order key.
func (o Order) Sign(key []byte) Order {
	o.Signature = hex.EncodeToString(o.mac(key))
	return o
}

// Verify reports whether o carries a signature made with key.
func (o Order) Verify(key []byte) bool {
	got, err := hex.DecodeString(o.Signature)
	return err == nil && hmac.Equal(got, o.mac(key))
}

// mac returns the HMAC-SHA256 of the order without its signature, as JSON.
func (o Order) mac(key []byte) []byte {
	o.Signature = ""
	text, err := json.Marshal(o)
	if err != nil {
		panic(err) // An Order holds only strings and numbers.
	}
	h := hmac.New(sha256.New, key)
	h.Write(text)
	return h.Sum(nil)
}
