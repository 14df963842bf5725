package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key identifies what a caller sends: requests with the same host, method, target and body
// have the same key, whichever program, attempt and instance they belong to. It is a
// cryptographic hash, so that no caller can make a request that has the key of another one.
type Key [16]byte

// Identity is what identifies a request.
type Identity struct {
	Key Key
	// Target is what the request shares with all others to its target, whatever their
	// bodies. No request has it as its Key.
	Target Key
}

// IdentityOf returns the identity of a request.
func IdentityOf(host, method, target string, body []byte) Identity {
	return Identity{Key: KeyOf(host, method, target, body), Target: KeyOf(host, "any body "+method, target, nil)}
}

// KeyOf returns the key of a request.
func KeyOf(host, method, target string, body []byte) Key {
	h := sha256.New()
	for _, part := range []string{host, method, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// A hash never returns an error.
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return Key(h.Sum(nil)[:len(Key{})])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
