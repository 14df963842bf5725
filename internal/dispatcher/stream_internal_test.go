package dispatcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// FuzzStream checks that a stream without its last chunk is a failure, and that
// the text and token count are those of the delivered chunks.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		"", "data: {}\n\n", "data: {\"Request\":\"r\",\"Text\":\"a\",\"Tokens\":1}\n\n",
		"data: {\"Request\":\"r\",\"Done\":true,\"Usage\":{}}\n\n",
		"data: {\"Request\":\"r\",\"Done\":true,\"Usage\":{}}\n",
		"data: {\"Request\":\"r\",\"Done\":true}\n\n",
		": comment\nevent: x\ndata: {\"Request\":\"r\",\ndata: \"Text\":\"a\",\"Tokens\":1,\"Done\":true,\"Usage\":{\"Prompt\":1}}\r\n\r\n",
		"data: {\"Request\":\"r\",\"Text\":\"a\",\"Tokens\":-1}\n\n", "data: {\"Request\":\"q\"}\n\n",
		"data: {\"Request\":\"r\",\"Offset\":5,\"Text\":\"a\",\"Tokens\":1}\n\n", "data:\n\n", "data", "\n\n\n",
		"data: {\"Request\":\"r\",\"Done\":true,\"Error\":\"x\"}\n\n",
		"data: {\"Request\":\"r\",\"Offset\":2,\"Done\":true,\"Usage\":{}}\n\n",
	} {
		f.Add([]byte(seed))
	}
	d := New()
	endpoint := &compiler.Endpoint{Name: "e1"}
	f.Fuzz(func(t *testing.T, body []byte) {
		sink := &recordingSink{}
		g := &generation{request: generator.GenerateRequest{Request: "r"}, sink: sink}
		x := d.newExchange(t.Context(), endpoint, time.Minute)
		defer x.close()
		x.trace.responseStarted()
		failure := d.readChunks(x, g, bytes.NewReader(body))
		if g.text.String() != sink.text || g.nextOffset != sink.tokens {
			t.Errorf("text %q of %d tokens, delivered %q of %d", g.text.String(), g.nextOffset, sink.text, sink.tokens)
		}
		if failure == nil && !sink.done {
			t.Errorf("%q has no last chunk but was accepted", body)
		}
		if failure != nil && (failure.Reason == NotSent || failure.Cause == nil) {
			t.Errorf("%v", failure)
		}
	})
}

// recordingSink records the delivered chunks.
type recordingSink struct {
	text   string
	tokens int
	done   bool
}

func (c *recordingSink) Chunk(chunk generator.Chunk) error {
	if c.done {
		return errors.New("chunk delivered after the last one")
	}
	if _, err := json.Marshal(chunk); err != nil {
		return err
	}
	c.text += chunk.Text
	c.tokens += chunk.Tokens
	c.done = chunk.Done
	return nil
}
