package receiver

import (
	"net/http"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// The range of service status codes that are forwarded to the caller.
const (
	minimumStatus = 200
	maximumStatus = 599
)

func callService(x *exchange) error {
	service, err := x.service()
	if err != nil {
		return err
	}
	call, err := x.newCall(service)
	if err != nil {
		return err
	}
	reply, err := x.do(requester.Command{Call: call}, nil)
	if err != nil {
		return err
	}
	if reply.Call == nil {
		return errUnexpectedReply()
	}
	return x.writeServiceResponse(reply.Call)
}

// service returns the service named in the path. It returns NotFound for a service
// that the caller's business may not call.
func (x *exchange) service() (*compiler.Service, error) {
	name := x.request.PathValue("service")
	service := x.version.Services[name]
	if service == nil || (service.Business != "" && service.Business != x.business.Name) {
		return nil, answerer.New(answerer.NotFound, "the service does not exist")
	}
	return service, nil
}

func (x *exchange) newCall(service *compiler.Service) (*requester.Call, error) {
	key, err := x.callKey(service)
	if err != nil {
		return nil, err
	}
	program := x.request.Header.Get(HeaderProgram)
	if program != "" && !programIDPattern.MatchString(program) {
		return nil, answerer.New(answerer.BadRequest, "header %s is not a valid program id", HeaderProgram)
	}
	body, err := x.readBody()
	if err != nil {
		return nil, err
	}
	return &requester.Call{
		Service:     service.Name,
		Key:         key,
		Method:      x.request.Method,
		Path:        servicePath(x.request),
		ContentType: x.request.Header.Get("Content-Type"),
		Body:        body,
		Program:     program,
	}, nil
}

func (x *exchange) callKey(service *compiler.Service) (string, error) {
	key := x.request.Header.Get(HeaderKey)
	if key == "" && !service.Repeatable {
		return "", answerer.New(answerer.BadRequest,
			"calls to service %s are not repeatable: header %s is required", service.Name, HeaderKey)
	}
	if key != "" && !keyPattern.MatchString(key) {
		return "", answerer.New(answerer.BadRequest, "header %s is not 1 to 200 visible ASCII characters", HeaderKey)
	}
	return key, nil
}

// servicePath returns the path and query of the request to the service.
func servicePath(request *http.Request) string {
	escaped := strings.TrimPrefix(request.URL.EscapedPath(), "/v1/services/")
	_, rest, _ := strings.Cut(escaped, "/")
	path := "/" + rest
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return path
}

// writeServiceResponse forwards the service's response to the caller.
func (x *exchange) writeServiceResponse(reply *requester.CallReply) error {
	if reply.Status < minimumStatus || reply.Status > maximumStatus {
		return answerer.New(answerer.EndpointFailed, "the service answered with status %d", reply.Status)
	}
	header := x.writer.Header()
	if reply.Key != "" {
		header.Set(HeaderKey, reply.Key)
	}
	if reply.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	return x.writeBody(reply.Status, reply.ContentType, reply.Body)
}

func readOutcome(x *exchange) error {
	key := x.request.PathValue("key")
	if !keyPattern.MatchString(key) {
		return answerer.New(answerer.BadRequest, "the key in the path is not 1 to 200 visible ASCII characters")
	}
	outcome := requester.Outcome{Key: key}
	reply, err := x.do(requester.Command{Outcome: &outcome}, nil)
	if err != nil {
		return err
	}
	if reply.Outcome == nil {
		return errUnexpectedReply()
	}
	return x.writeJSON(http.StatusOK, reply.Outcome)
}
