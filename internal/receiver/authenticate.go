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

// authenticate finds the caller's business by its key.
func (x *exchange) authenticate() error {
	x.version = x.receiver.current()
	if x.version == nil {
		return answerer.New(answerer.StoreUnavailable, "no document is in force yet")
	}
	key, ok := strings.CutPrefix(x.request.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return answerer.New(answerer.Unauthenticated, "header Authorization must be Bearer and a key")
	}
	business := businessForKey(x.version, key)
	if business == nil {
		return answerer.New(answerer.Unauthenticated, "the key is not known")
	}
	x.business = business
	return nil
}

// businessForKey compares the key's hash with all hashes, in constant time each. A
// key of more than one business names none of them.
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
