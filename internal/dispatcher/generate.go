package dispatcher

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const contentStream = "text/event-stream"

// generation is the answer of one attempt, as far as it came.
type generation struct {
	request generator.GenerateRequest
	sink    requester.Sink
	text    strings.Builder
	// next is the index of the first token that is missing.
	next  int
	usage generator.Usage
}

// Generate sends one attempt and hands its chunks to sink in order. It returns
// the text from request.Offset on, whole, once the last chunk came. Any error
// is a *Failure; its Text and Offset say where another attempt may resume.
func (d *Dispatcher) Generate(ctx context.Context, endpoint *compiler.Endpoint, request generator.GenerateRequest, sink requester.Sink) (string, generator.Usage, error) {
	x := d.newExchange(ctx, endpoint, d.firstByteTimeout)
	defer x.close()
	g := &generation{request: request, sink: sink, next: request.Offset}
	failure := d.generate(ctx, x, g)
	if failure != nil {
		failure.Offset = g.next
		failure.Text = g.text.String()
		failure.Usage = g.usage
		return failure.Text, g.usage, failure
	}
	return g.text.String(), g.usage, nil
}

func (d *Dispatcher) generate(ctx context.Context, x *exchange, g *generation) *Failure {
	body, err := json.Marshal(g.request)
	if err != nil {
		return x.fail(NotSent, eris.Wrap(err, "encode request"))
	}
	request, err := x.newRequest(http.MethodPost, pathGenerate, contentJSON, body)
	if err != nil {
		return asFailure(x, err)
	}
	request.Header.Set("Accept", contentStream)
	response, err := x.send(d.transportFor(ctx), request)
	if err != nil {
		return asFailure(x, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return x.refused(response)
	}
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if media != contentStream {
		return x.fail(Failed, eris.Wrapf(errProtocol, "content type %q", media))
	}
	return d.readChunks(x, g, response.Body)
}

// asFailure returns err as a failure; an unknown end of an attempt is a
// truncated answer, since an engine may be asked again.
func asFailure(x *exchange, err error) *Failure {
	var failure *Failure
	if !errors.As(err, &failure) {
		return x.fail(Failed, err)
	}
	if failure.Reason == Unknown {
		failure.Reason = Truncated
	}
	return failure
}

// readChunks reads to the last chunk. The bound stands still while the sink
// takes a chunk, so that a slow caller is not taken for a silent engine.
func (d *Dispatcher) readChunks(x *exchange, g *generation, body io.Reader) *Failure {
	events := newEventReader(body)
	for {
		data, err := events.next()
		if err != nil {
			return x.streamBroken(err)
		}
		x.watch.Stop()
		done, failure := g.accept(x, data)
		if failure != nil || done {
			return failure
		}
		x.extend(d.gapTimeout)
	}
}

// streamBroken returns the failure of a stream that ended before its last chunk.
func (x *exchange) streamBroken(err error) *Failure {
	if errors.Is(err, errEventSize) {
		return x.fail(Failed, err)
	}
	failure := x.broken(err, Truncated)
	failure.Status = http.StatusOK
	if errors.Is(err, io.EOF) && failure.Reason == Truncated {
		failure.Cause = errNoEnd
	}
	return failure
}

// accept takes one event and reports whether it was the last one.
func (g *generation) accept(x *exchange, data []byte) (bool, *Failure) {
	var chunk generator.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, x.fail(Failed, eris.Wrapf(errProtocol, "decode chunk: %v", err))
	}
	if chunk.Request != g.request.Request {
		return false, x.fail(Crossed, eris.Wrapf(errCrossed, "asked %s, got %s", g.request.Request, chunk.Request))
	}
	if chunk.Usage != nil {
		g.usage = *chunk.Usage
	}
	if chunk.Error != "" {
		return false, x.fail(Failed, eris.Errorf("engine gave up: %s", chunk.Error))
	}
	if failure := g.add(x, chunk); failure != nil {
		return false, failure
	}
	if chunk.Done && chunk.Usage == nil {
		return false, x.fail(Failed, errNoUsage)
	}
	return chunk.Done, nil
}

// add appends the chunk's text, which must start where the text so far ends. A
// last chunk without text may leave its offset out.
func (g *generation) add(x *exchange, chunk generator.Chunk) *Failure {
	if chunk.Offset > g.next {
		return x.fail(Truncated, eris.Wrapf(errProtocol, "offset %d after %d", chunk.Offset, g.next))
	}
	if chunk.Done && chunk.Tokens == 0 && chunk.Text == "" {
		return g.deliver(x, chunk)
	}
	if chunk.Tokens < 0 || chunk.Offset < g.next {
		return x.fail(Failed, eris.Wrapf(errProtocol, "offset %d after %d", chunk.Offset, g.next))
	}
	g.text.WriteString(chunk.Text)
	g.next += chunk.Tokens
	return g.deliver(x, chunk)
}

func (g *generation) deliver(x *exchange, chunk generator.Chunk) *Failure {
	if g.sink == nil {
		return nil
	}
	if err := g.sink.Chunk(chunk); err != nil {
		return x.fail(Canceled, eris.Wrap(err, "deliver chunk"))
	}
	return nil
}

// eventReader reads the data of server-sent events.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialEventBytes), maximumEventBytes)
	return &eventReader{lines: lines}
}

// next returns the data of the next event that is closed by an empty line.
func (e *eventReader) next() ([]byte, error) {
	var data []byte
	for e.lines.Scan() {
		line := e.lines.Text()
		if line == "" && len(data) > 0 {
			return data, nil
		}
		field, value, _ := strings.Cut(line, ":")
		if field != "data" {
			continue
		}
		if len(data) > 0 {
			data = append(data, '\n')
		}
		data = append(data, strings.TrimPrefix(value, " ")...)
		if len(data) > maximumEventBytes {
			return nil, errEventSize
		}
	}
	return nil, e.failed()
}

// failed returns why there are no more lines.
func (e *eventReader) failed() error {
	err := e.lines.Err()
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return errEventSize
	}
	return err
}
