package fakeengine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// echoWords is the number of leading words of an output that name the messages
// it answers.
const echoWords = 2

var vocabulary = strings.Fields(`
	kala laul mets jõgi sild tuul vesi kivi leib piim sool mesi õun pirn marja seen
	pan tray rice soup bean corn beef lamb fish herb leek kale plum fig date mint
	red blue green grey dark light warm cold long short wide thin soft hard new old`)

// Digest returns the word by which an output names a message's text.
func Digest(text string) string {
	return strconv.FormatUint(xxhash.Sum64String(text), 36)
}

// CountTokens returns the number of tokens of the text, which are its words.
func CountTokens(text string) int { return len(strings.Fields(text)) }

// Text returns the tokens from up to to, exclusive, of the whole output that
// answers the messages with the seed. The first word is the Digest of the last
// message's text, the second that of the message before it, and the others
// follow from the seed. Texts of adjoining ranges concatenate to the whole.
func Text(seed uint64, messages []generator.Message, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(word(seed, messages, i))
	}
	return b.String()
}

// word returns one token of an output.
func word(seed uint64, messages []generator.Message, index int) string {
	if index < echoWords {
		return Digest(messageFromEnd(messages, index))
	}
	return vocabulary[mix(seed, uint64(index))%uint64(len(vocabulary))]
}

// messageFromEnd returns the text of a message counted from the last, or "".
func messageFromEnd(messages []generator.Message, back int) string {
	if back >= len(messages) {
		return ""
	}
	return messages[len(messages)-1-back].Text
}

// outputLength returns the length in tokens of the whole output. It is spread
// evenly up to twice the mean and bounded by maxTokens; a mean of zero stands
// for outputs that always reach the bound.
func outputLength(seed uint64, mean, maxTokens int) int {
	if mean <= 0 {
		return maxTokens
	}
	const salt = 0x6c656e677468
	drawn := echoWords + int(mix(seed, salt)%uint64(2*mean))
	return min(drawn, maxTokens)
}

// mix hashes two numbers to one.
func mix(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}

// tokens returns the tokens of the messages. The first token of a message also
// carries its role, so that roles matter to the cache and cost nothing.
func tokens(messages []generator.Message) []string {
	var all []string
	for _, m := range messages {
		words := strings.Fields(m.Text)
		if len(words) > 0 {
			words[0] = m.Role + "\x00" + words[0]
		}
		all = append(all, words...)
	}
	return all
}

// blockHashes returns one hash for each full block of tokens. A block's hash
// covers all tokens before it, so equal hashes mean equal prefixes.
func blockHashes(namespace string, all []string, blockTokens int) []uint64 {
	hashes := make([]uint64, 0, len(all)/blockTokens)
	hash := xxhash.Sum64String(namespace)
	for end := blockTokens; end <= len(all); end += blockTokens {
		block := strings.Join(all[end-blockTokens:end], " ")
		hash = mix(hash, xxhash.Sum64String(block))
		hashes = append(hashes, hash)
	}
	return hashes
}

// namespace returns the part of the cache that the request may share.
func namespace(request generator.GenerateRequest) string {
	return strings.Join([]string{request.Business, request.Model, request.Adapter}, "\x00")
}
