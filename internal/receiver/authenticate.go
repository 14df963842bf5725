package receiver

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

const bearerPrefix = "Bearer "

// authenticate sets the document version and the caller's business, which it
// looks up by the key in the Authorization header.
func (x *exchange) authenticate() error {
	x.version = x.receiver.current()
	if x.version == nil {
		return answerer.New(answerer.StoreUnavailable, "no configuration document is in force yet")
	}
	key, ok := strings.CutPrefix(x.request.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return answerer.New(answerer.Unauthenticated, "header Authorization must have the form \"Bearer KEY\"")
	}
	business := businessForKey(x.version, key)
	if business == nil {
		return answerer.New(answerer.Unauthenticated, "the key is unknown")
	}
	x.business = business
	return nil
}

// businessForKey returns the business that the key belongs to, or nil if it
// belongs to none or to more than one. It compares the key's hash with all
// hashes, each in constant time.
func businessForKey(version *compiler.Version, key string) *compiler.Business {
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found *compiler.Business
	matches := 0
	for _, business := range version.Businesses {
		if hasKeyHash(business, hash) {
			found = business
			matches++
		}
	}
	if matches != 1 {
		return nil
	}
	return found
}

func hasKeyHash(business *compiler.Business, hash []byte) bool {
	match := 0
	for _, keyHash := range business.KeyHashes {
		match |= subtle.ConstantTimeCompare([]byte(keyHash), hash)
	}
	return match == 1
}
