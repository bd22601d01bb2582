package entry

import (
	"context"
	"strings"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/bodylimit"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

// The methods below provide the calls of the HTTP API as Go methods. An adapter in
// the same process uses them to serve another API. Their errors have kinds.

// Ready returns nil if this entry process accepts callers. The error is Draining
// or SettingsStale.
func (s *Server) Ready() error {
	if !s.ready.Load() {
		return errkind.New(errkind.Draining, "this entry process does not accept callers; try another one")
	}
	return s.config.checkFresh()
}

// QueueAt returns the queue whose route has the given host and the longest
// matching prefix of path, and the rest of the path. The error is UnknownQueue or
// SettingsStale.
func (s *Server) QueueAt(host, path string) (*model.Queue, string, error) {
	return s.config.queueAt(host, path)
}

// Authenticate returns the identity that belongs to a key. The error is
// KeyMissing, KeyUnknown, KeyWithdrawn or SettingsStale.
func (s *Server) Authenticate(key string) (proto.Caller, error) {
	if key == "" {
		return proto.Caller{}, errkind.New(errkind.KeyMissing, "the request has no key")
	}
	k, err := s.config.authenticate(declare.DigestKey(key))
	if err != nil {
		return proto.Caller{}, err
	}
	return proto.Caller{Team: k.Team, Operator: k.Operator, Key: k.Digest}, nil
}

// RecordRefusal counts and logs a call about a workflow that failed with err. The
// log line has the version and the age of the configuration that was used.
func (s *Server) RecordRefusal(method string, id model.WorkflowID, err error) {
	kind := errkind.Of(err)
	s.metrics.refused(kind)
	version, age := s.config.age()
	s.log.Info("Call refused.", "workflow", id, "method", method, "kind", kind, "not_run", errkind.RowOf(kind).NotRun,
		"config", version, "config_age", age, "err", err)
}

// SubmitWorkflow submits a workflow to the leader and returns after its commit.
func (s *Server) SubmitWorkflow(ctx context.Context, caller proto.Caller, spec *model.WorkflowSpec) (*proto.WorkflowView, error) {
	spec.Team = caller.Team
	if err := spec.Validate(); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "workflow")
	}
	req := &proto.SubmitWorkflow{Caller: caller, Spec: *spec}
	return callLeader[proto.SubmitWorkflow, proto.WorkflowView](ctx, s.leader, wire.KindSubmitWorkflow, req, 0)
}

// Workflow reads a workflow of the caller's team.
func (s *Server) Workflow(ctx context.Context, caller proto.Caller, id model.WorkflowID) (*proto.WorkflowView, error) {
	req := &proto.Workflow{Caller: caller, ID: id}
	return callLeader[proto.Workflow, proto.WorkflowView](ctx, s.leader, wire.KindGetWorkflow, req, 0)
}

// CancelWorkflow cancels a workflow of the caller's team and returns after the
// commit.
func (s *Server) CancelWorkflow(ctx context.Context, caller proto.Caller, id model.WorkflowID) (*proto.WorkflowView, error) {
	req := &proto.Workflow{Caller: caller, ID: id}
	return callLeader[proto.Workflow, proto.WorkflowView](ctx, s.leader, wire.KindCancelWorkflow, req, 0)
}

// WaitingWorkflows returns the number of workflows of a queue of which no task has
// started.
func (s *Server) WaitingWorkflows(ctx context.Context, queue string) (int64, error) {
	resp, err := callLeader[proto.Queue, proto.QueueView](ctx, s.leader, wire.KindQueue, &proto.Queue{Name: queue}, 0)
	if err != nil {
		return 0, err
	}
	return resp.Waiting, nil
}

// Heartbeat forwards the heartbeat of a polled worker to the leader. The error is BadRequest
// if it names no worker that could be used.
func (s *Server) Heartbeat(ctx context.Context, b *proto.Heartbeat) error {
	if err := b.Validate(time.Now()); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "worker")
	}
	if s.heartbeats.record(ctx, b) {
		return nil
	}
	_, err := callLeader[proto.Heartbeat, proto.Empty](ctx, s.leader, wire.KindHeartbeat, b, 0)
	return err
}

// Declare applies a configuration and returns after its commit. The configuration
// with the highest revision takes effect. It is for operators without a key.
func (s *Server) Declare(ctx context.Context, a *api.Apply) error {
	if problems := declare.Validate(&a.Declarations); len(problems) > 0 {
		return errkind.New(errkind.BadDeclarations, "%s", problems.Error())
	}
	req := &proto.Declare{Caller: proto.Caller{Operator: true, Network: true}, Apply: *a}
	_, err := callLeader[proto.Declare, api.Applied](ctx, s.leader, wire.KindDeclare, req, 0)
	return err
}

// Bodies returns the limiter of request bodies.
func (s *Server) Bodies() *bodylimit.Limiter { return s.bodies }

// Document returns the current configuration as the operator sent it. The result is shared
// with other callers and must not be changed.
func (s *Server) Document(ctx context.Context) (*proto.Document, error) {
	return s.documents.get(ctx, func() (*proto.Document, error) {
		return callLeader[proto.Empty, proto.Document](ctx, s.leader, wire.KindDocument, &proto.Empty{}, 0)
	})
}

// advise queries the policy service on behalf of the leader.
func (s *Server) advise(ctx context.Context, _ wire.Peer, req *proto.Advise) (*workerclient.Advice, error) {
	if s.opts.PolicyClient == nil {
		return nil, errkind.New(errkind.Unreachable, "no policy service is configured for this entry process")
	}
	start := time.Now()
	a, err := s.opts.PolicyClient.Advise(ctx, req.Step, req.Workers)
	if err != nil {
		s.log.Warn("The query to the policy service failed.", "workflow", req.Step.Workflow, "step", req.Step.Step, "after", time.Since(start), "err", err)
		return nil, errkind.Wrap(errkind.Unreachable, err, "policy service")
	}
	return a, nil
}

// routes holds the queues that have a route, by host.
type routes map[string][]*model.Queue

func newRoutes(queues []model.Queue) routes {
	r := routes{}
	for i := range queues {
		if q := &queues[i]; q.Route != (model.Route{}) {
			r[q.Route.Host] = append(r[q.Route.Host], q)
		}
	}
	return r
}

// find returns the queue with the longest matching prefix of path, or nil.
func (r routes) find(host, path string) *model.Queue {
	var best *model.Queue
	for _, q := range r[host] {
		longer := best == nil || len(q.Route.PathPrefix) > len(best.Route.PathPrefix)
		if longer && strings.HasPrefix(path, q.Route.PathPrefix) {
			best = q
		}
	}
	return best
}

func (c *configCopy) queueAt(host, path string) (*model.Queue, string, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if err := c.checkFreshLocked(); err != nil {
		return nil, "", err
	}
	q := c.routes.find(host, path)
	if q == nil {
		return nil, "", errkind.New(errkind.UnknownQueue, "no queue has a route for %s%s", host, path)
	}
	return q, path[len(q.Route.PathPrefix):], nil
}
