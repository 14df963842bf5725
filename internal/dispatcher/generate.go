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

const contentTypeEventStream = "text/event-stream"

// generation is the output of one attempt so far.
type generation struct {
	request generator.GenerateRequest
	sink    requester.Sink
	text    strings.Builder
	// nextOffset is the index of the first token that was not received.
	nextOffset int
	usage      generator.Usage
}

// Generate sends one attempt and passes its chunks to sink in order. After the
// last chunk it returns the complete text from request.Offset on. Any error is a
// *Failure, whose Text and Offset say where another attempt may resume.
func (d *Dispatcher) Generate(ctx context.Context, endpoint *compiler.Endpoint, request generator.GenerateRequest, sink requester.Sink) (string, generator.Usage, error) {
	x := d.newExchange(ctx, endpoint, d.firstChunkTimeout)
	defer x.close()
	g := &generation{request: request, sink: sink, nextOffset: request.Offset}
	failure := d.generate(ctx, x, g)
	if failure != nil {
		failure.Offset = g.nextOffset
		failure.Text = g.text.String()
		failure.Usage = g.usage
		return failure.Text, g.usage, failure
	}
	return g.text.String(), g.usage, nil
}

func (d *Dispatcher) generate(ctx context.Context, x *exchange, g *generation) *Failure {
	body, err := json.Marshal(g.request)
	if err != nil {
		return x.newFailure(NotSent, eris.Wrap(err, "encode request"))
	}
	request, err := x.newRequest(http.MethodPost, pathGenerate, contentTypeJSON, body)
	if err != nil {
		return asFailure(x, err)
	}
	request.Header.Set("Accept", contentTypeEventStream)
	response, err := x.send(d.transportFor(ctx), request)
	if err != nil {
		return asFailure(x, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return x.statusFailure(response)
	}
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if media != contentTypeEventStream {
		return x.newFailure(Failed, eris.Wrapf(errProtocol, "content type %q", media))
	}
	return d.readChunks(x, g, response.Body)
}

// asFailure returns err as a failure. It replaces Unknown by Truncated, since a
// generation is safe to repeat.
func asFailure(x *exchange, err error) *Failure {
	var failure *Failure
	if !errors.As(err, &failure) {
		return x.newFailure(Failed, err)
	}
	if failure.Reason == Unknown {
		failure.Reason = Truncated
	}
	return failure
}

// readChunks reads up to the last chunk. The timer is stopped while the sink takes
// a chunk, so that a slow caller does not make the engine time out.
func (d *Dispatcher) readChunks(x *exchange, g *generation, body io.Reader) *Failure {
	events := newEventReader(body)
	for {
		data, err := events.next()
		if err != nil {
			return x.streamFailure(err)
		}
		x.timer.Stop()
		done, failure := g.handleEvent(x, data)
		if failure != nil || done {
			return failure
		}
		x.extend(d.chunkTimeout)
	}
}

// streamFailure returns the failure of a stream that failed or ended before its
// last chunk.
func (x *exchange) streamFailure(err error) *Failure {
	if errors.Is(err, errEventSize) {
		return x.newFailure(Failed, err)
	}
	failure := x.connFailure(err, Truncated)
	failure.Status = http.StatusOK
	if errors.Is(err, io.EOF) && failure.Reason == Truncated {
		failure.Cause = errNoLastChunk
	}
	return failure
}

// handleEvent decodes and delivers one chunk, and reports whether it was the last.
func (g *generation) handleEvent(x *exchange, data []byte) (bool, *Failure) {
	var chunk generator.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, x.newFailure(Failed, eris.Wrapf(errProtocol, "decode chunk: %v", err))
	}
	if chunk.Request != g.request.Request {
		return false, x.newFailure(Crossed, eris.Wrapf(errWrongRequest, "want request %s, got %s", g.request.Request, chunk.Request))
	}
	if chunk.Usage != nil {
		g.usage = *chunk.Usage
	}
	if chunk.Error != "" {
		return false, x.newFailure(Failed, eris.Errorf("engine reported an error: %s", chunk.Error))
	}
	if failure := g.appendChunk(x, chunk); failure != nil {
		return false, failure
	}
	if chunk.Done && chunk.Usage == nil {
		return false, x.newFailure(Failed, errNoUsage)
	}
	return chunk.Done, nil
}

// appendChunk appends the chunk's text, which must start at nextOffset, and
// delivers the chunk. A last chunk without text may omit its offset.
func (g *generation) appendChunk(x *exchange, chunk generator.Chunk) *Failure {
	if chunk.Offset > g.nextOffset {
		return x.newFailure(Truncated, eris.Wrapf(errProtocol, "offset %d after %d", chunk.Offset, g.nextOffset))
	}
	if chunk.Done && chunk.Tokens == 0 && chunk.Text == "" {
		return g.deliver(x, chunk)
	}
	if chunk.Tokens < 0 || chunk.Offset < g.nextOffset {
		return x.newFailure(Failed, eris.Wrapf(errProtocol, "offset %d after %d", chunk.Offset, g.nextOffset))
	}
	g.text.WriteString(chunk.Text)
	g.nextOffset += chunk.Tokens
	return g.deliver(x, chunk)
}

func (g *generation) deliver(x *exchange, chunk generator.Chunk) *Failure {
	if g.sink == nil {
		return nil
	}
	if err := g.sink.Chunk(chunk); err != nil {
		return x.newFailure(Canceled, eris.Wrap(err, "deliver chunk"))
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

// next returns the data of the next event that ends with an empty line.
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
	return nil, e.scanError()
}

// scanError returns the error that ended the scan, or io.EOF.
func (e *eventReader) scanError() error {
	err := e.lines.Err()
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return errEventSize
	}
	return err
}
