package administrator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

const (
	// listTimeout limits the time that one instance takes to list what it owns.
	listTimeout = 3 * time.Second
	// maxParallelLists limits concurrent list commands of one request.
	maxParallelLists = 32
)

// The values of requester.List.Kind.
const (
	listPrograms = "Programs"
	listUnknown  = "Unknown"
)

func (a *Administrator) registerFleetRoutes() {
	a.route("GET "+PathStatus, "ShowStatus", "", a.showStatus)
	a.route("GET "+PathInstances, "ListInstances", "", a.listInstances)
	a.route("POST "+PathInstances+"/{instance}/"+VerbDrain, "DrainInstance", compiler.RightInstances, a.drainInstance)
	a.route("GET "+PathEndpoints, "ListEndpoints", "", a.listEndpoints)
	a.route("GET "+PathPrograms, "ListPrograms", "", a.listPrograms)
	a.route("GET "+PathPrograms+"/{program}/"+VerbExplain, "ExplainProgram", "", a.explainProgram)
	a.route("POST "+PathPrograms+"/{program}/"+VerbEnd, "EndProgram", compiler.RightPrograms, a.endProgram)
	a.route("GET "+PathOutcomes, "ListOutcomes", "", a.listOutcomes)
	a.route("POST "+PathResolve, "ResolveOutcome", compiler.RightPrograms, a.resolveOutcome)
}

// instances returns the instances sorted by name.
func (a *Administrator) instances(ctx context.Context) ([]Instance, error) {
	instances, err := a.fleet.Instances(ctx)
	if err != nil {
		return nil, err
	}
	instances = slices.Clone(instances)
	slices.SortFunc(instances, func(x, y Instance) int { return cmp.Compare(x.Name, y.Name) })
	return instances, nil
}

// showStatus reports the newest version known to the store or to any instance.
func (a *Administrator) showStatus(c call) (any, error) {
	instances, err := a.instances(c.Context())
	if err != nil {
		return nil, err
	}
	view := StatusView{Newest: a.follower.Current().Number, Instances: instances}
	for _, instance := range instances {
		view.Newest = max(view.Newest, instance.Version)
	}
	head, err := a.publisher.Head(c.Context())
	if err == nil {
		view.Newest = max(view.Newest, head.Version)
	}
	for _, instance := range instances {
		if !instance.Reachable || instance.Version < view.Newest {
			view.Lagging = append(view.Lagging, instance.Name)
		}
	}
	// A store that does not answer may hold a newer version that no instance has.
	view.Everywhere = err == nil && len(view.Lagging) == 0
	return view, nil
}

func (a *Administrator) listInstances(c call) (any, error) {
	instances, err := a.instances(c.Context())
	if err != nil {
		return nil, err
	}
	return InstancesView{Instances: instances}, nil
}

func (a *Administrator) drainInstance(c call) (any, error) {
	var body DrainRequest
	if err := decode(c.Request, &body); err != nil {
		return nil, err
	}
	instance := c.PathValue("instance")
	if err := a.fleet.Drain(c.Context(), instance); err != nil {
		return nil, err
	}
	a.log.Log(EventDrainOrdered, "Instance", instance, "Operator", c.operator.Name, "EditID", body.EditID)
	return EmptyView{}, nil
}

func (a *Administrator) listEndpoints(c call) (any, error) {
	endpoints, err := a.endpoints.Endpoints(c.Context())
	if err != nil {
		return nil, err
	}
	endpoints = slices.Clone(endpoints)
	slices.SortFunc(endpoints, func(x, y Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	return EndpointsView{Endpoints: endpoints}, nil
}

// newCommand returns a command whose timeout is the time left until the deadline of
// ctx.
func newCommand(ctx context.Context, id, business string) requester.Command {
	command := requester.Command{Request: id, Business: business}
	if deadline, ok := ctx.Deadline(); ok {
		command.Timeout = time.Until(deadline)
	}
	return command
}

// instanceList is the list of one instance.
type instanceList struct {
	instance string
	requester.ListReply
}

// listAll returns the lists of all instances and the names of the instances that
// did not answer.
func (a *Administrator) listAll(c call, kind string) ([]instanceList, []string, error) {
	instances, err := a.instances(c.Context())
	if err != nil {
		return nil, nil, err
	}
	var mu sync.Mutex
	var answers []instanceList
	var missing []string
	group := errgroup.Group{}
	group.SetLimit(maxParallelLists)
	for _, instance := range instances {
		group.Go(func() error {
			answer, err := a.listInstance(c, instance.Name, kind)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, instance.Name)
				return nil
			}
			answers = append(answers, instanceList{instance.Name, answer})
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(answers, func(x, y instanceList) int { return cmp.Compare(x.instance, y.instance) })
	slices.Sort(missing)
	return answers, missing, nil
}

func (a *Administrator) listInstance(c call, instance, kind string) (requester.ListReply, error) {
	ctx, cancel := context.WithTimeout(c.Context(), listTimeout)
	defer cancel()
	command := newCommand(ctx, c.id, "")
	command.List = &requester.List{Kind: kind}
	reply, err := a.fleet.Do(ctx, instance, command)
	if err != nil {
		return requester.ListReply{}, err
	}
	if reply.List == nil {
		return requester.ListReply{}, errUnexpectedReply
	}
	return *reply.List, nil
}

var errUnexpectedReply = answerer.New(answerer.Internal, "the reply does not match the command")

func (a *Administrator) listPrograms(c call) (any, error) {
	answers, missing, err := a.listAll(c, listPrograms)
	if err != nil {
		return nil, err
	}
	business := c.URL.Query().Get("Business")
	view := ProgramsView{Missing: missing}
	for _, answer := range answers {
		for _, program := range answer.Programs {
			if business == "" || program.Business == business {
				view.Programs = append(view.Programs, program)
			}
		}
	}
	return view, nil
}

func (a *Administrator) listOutcomes(c call) (any, error) {
	answers, missing, err := a.listAll(c, listUnknown)
	if err != nil {
		return nil, err
	}
	view := OutcomesView{Missing: missing}
	for _, answer := range answers {
		for _, outcome := range answer.Outcomes {
			view.Outcomes = append(view.Outcomes, Outcome{Instance: answer.instance, OutcomeView: outcome})
		}
	}
	return view, nil
}

// requireBusiness refuses commands without the business of the program or call.
func requireBusiness(business string) error {
	if business == "" {
		return answerer.New(answerer.BadRequest, "Business is required")
	}
	return nil
}

func (a *Administrator) explainProgram(c call) (any, error) {
	business := c.URL.Query().Get("Business")
	if err := requireBusiness(business); err != nil {
		return nil, err
	}
	command := newCommand(c.Context(), c.id, business)
	command.Explain = &requester.Explain{Program: c.PathValue("program")}
	reply, err := a.doer.Do(c.Context(), command, nil)
	if err != nil {
		return nil, err
	}
	if reply.Explain == nil {
		return nil, errUnexpectedReply
	}
	return reply.Explain, nil
}

func (a *Administrator) endProgram(c call) (any, error) {
	var body EndRequest
	if err := decode(c.Request, &body); err != nil {
		return nil, err
	}
	if err := requireBusiness(body.Business); err != nil {
		return nil, err
	}
	command := newCommand(c.Context(), cmp.Or(body.EditID, c.id), body.Business)
	command.End = &requester.End{Program: c.PathValue("program"), Reason: body.Reason}
	reply, err := a.doer.Do(c.Context(), command, nil)
	if err != nil {
		return nil, err
	}
	if reply.End == nil {
		return nil, errUnexpectedReply
	}
	a.log.Log(EventProgramEnded, "Program", reply.End.Program, "Operator", c.operator.Name, "Reason", body.Reason)
	return reply.End, nil
}

func (a *Administrator) resolveOutcome(c call) (any, error) {
	var body ResolveRequest
	if err := decode(c.Request, &body); err != nil {
		return nil, err
	}
	if err := requireBusiness(body.Business); err != nil {
		return nil, err
	}
	command := newCommand(c.Context(), cmp.Or(body.EditID, c.id), body.Business)
	command.Resolve = &requester.Resolve{Key: body.Key, Landed: body.Landed, Note: body.Note}
	reply, err := a.doer.Do(c.Context(), command, nil)
	if err != nil {
		return nil, err
	}
	if reply.Outcome == nil {
		return nil, errUnexpectedReply
	}
	a.log.Log(EventOutcomeResolved, "Key", body.Key, "Landed", body.Landed, "Operator", c.operator.Name, "Note", body.Note)
	return reply.Outcome, nil
}
