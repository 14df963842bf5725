package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// Transfer streams the program's cache entries from one engine to another without
// buffering them. If the export is truncated, the import fails, since its request
// body is then truncated too.
func (d *Dispatcher) Transfer(ctx context.Context, from, to *compiler.Endpoint, program string) error {
	body, err := json.Marshal(generator.ReleaseRequest{Program: program})
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	x := d.newExchange(ctx, from, d.cacheTimeout)
	defer x.close()
	request, err := x.newRequest(http.MethodPost, pathExport, contentTypeJSON, body)
	if err != nil {
		return err
	}
	exported, err := x.send(d.transportFor(ctx), request)
	if err != nil {
		return err
	}
	defer func() { _ = exported.Body.Close() }()
	if exported.StatusCode != http.StatusOK {
		return x.statusFailure(exported)
	}
	return d.importFrom(ctx, to, exported)
}

func (d *Dispatcher) importFrom(ctx context.Context, to *compiler.Endpoint, exported *http.Response) error {
	x := d.newExchange(ctx, to, d.cacheTimeout)
	defer x.close()
	request, err := x.newRequest(http.MethodPost, pathImport, contentTypeBinary, nil)
	if err != nil {
		return err
	}
	request.Body = io.NopCloser(exported.Body)
	request.ContentLength = exported.ContentLength
	response, err := x.send(d.transportFor(ctx), request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return x.statusFailure(response)
	}
	return nil
}
