package entry

import (
	"context"
	"strings"
	"time"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/courier"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// The methods below are the calls of this package's HTTP interface without
// HTTP, for an adapter to another interface in the same process. Their errors
// carry kinds.

// Ready returns nil where this entry takes callers.
func (s *Server) Ready() error {
	if !s.ready.Load() {
		return errkind.New(errkind.Draining, "this entry does not take callers now")
	}
	return s.config.fresh()
}

// QueueAt returns the queue whose route has the host and the longest prefix of
// path, and the rest of the path. The error is UnknownQueue, or SettingsStale.
func (s *Server) QueueAt(host, path string) (*model.Queue, string, error) {
	return s.config.queueAt(host, path)
}

// Authenticate returns whom a key belongs to.
func (s *Server) Authenticate(key string) (proto.Caller, error) {
	if key == "" {
		return proto.Caller{}, errkind.New(errkind.KeyMissing, "the call has no key")
	}
	k, err := s.config.authenticate(declare.DigestKey(key))
	if err != nil {
		return proto.Caller{}, err
	}
	return proto.Caller{Team: k.Team, Operator: k.Operator, Key: k.Digest}, nil
}

// NoteRefused counts and logs that a call about a workflow was answered with an
// error, with how old the configuration is that it was checked against.
func (s *Server) NoteRefused(method string, id model.WorkflowID, err error) {
	kind := errkind.Of(err)
	s.metrics.refused(kind)
	version, age := s.config.age()
	s.log.Info("Call refused.", "workflow", id, "method", method, "kind", kind, "not_run", errkind.RowOf(kind).NotRun,
		"config", version, "config_age", age, "err", err)
}

// SubmitWorkflow hands a workflow to the leader and returns after its commit.
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

// CancelWorkflow cancels a workflow of the caller's team and returns after the commit.
func (s *Server) CancelWorkflow(ctx context.Context, caller proto.Caller, id model.WorkflowID) (*proto.WorkflowView, error) {
	req := &proto.Workflow{Caller: caller, ID: id}
	return callLeader[proto.Workflow, proto.WorkflowView](ctx, s.leader, wire.KindCancelWorkflow, req, 0)
}

// Waiting returns how many workflows of a queue wait for their first task.
func (s *Server) Waiting(ctx context.Context, queue string) (int64, error) {
	resp, err := callLeader[proto.Queue, proto.QueueView](ctx, s.leader, wire.KindQueue, &proto.Queue{Name: queue}, 0)
	if err != nil {
		return 0, err
	}
	return resp.Waiting, nil
}

// Beat tells the leader what a worker that takes orders by call says of itself.
func (s *Server) Beat(ctx context.Context, b *proto.Beat) error {
	if err := b.Spec.Validate(); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "worker")
	}
	_, err := callLeader[proto.Beat, proto.Empty](ctx, s.leader, wire.KindHeartbeat, b, 0)
	return err
}

// Declare puts a configuration in force whose revision is the highest, and
// returns after its commit. It is for operators that come without a key.
func (s *Server) Declare(ctx context.Context, a *api.Apply) error {
	if problems := declare.Validate(&a.Declarations); len(problems) > 0 {
		return errkind.New(errkind.BadDeclarations, "%s", problems.Error())
	}
	req := &proto.Declare{Caller: proto.Caller{Operator: true, Network: true}, Apply: *a}
	_, err := callLeader[proto.Declare, api.Applied](ctx, s.leader, wire.KindDeclare, req, 0)
	return err
}

// Document reads the configuration in force as the operator sent it.
func (s *Server) Document(ctx context.Context) (*proto.Document, error) {
	return callLeader[proto.Empty, proto.Document](ctx, s.leader, wire.KindDocument, &proto.Empty{}, 0)
}

// advise puts a question of the leader to the policy service.
func (s *Server) advise(ctx context.Context, _ wire.Peer, req *proto.Advise) (*courier.Advice, error) {
	if s.opts.Advisor == nil {
		return nil, errkind.New(errkind.Unreachable, "this entry knows no policy service")
	}
	began := time.Now()
	a, err := s.opts.Advisor.Advise(ctx, req.Step, req.Workers)
	if err != nil {
		s.log.Warn("Policy service not reached.", "workflow", req.Step.Workflow, "step", req.Step.Step, "after", time.Since(began), "err", err)
		return nil, errkind.Wrap(errkind.Unreachable, err, "policy service")
	}
	return a, nil
}

// routes finds queues by host and path.
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

// find returns the queue with the longest prefix of path, or nil.
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
	if err := c.freshLocked(); err != nil {
		return nil, "", err
	}
	q := c.routes.find(host, path)
	if q == nil {
		return nil, "", errkind.New(errkind.UnknownQueue, "no queue is reached at %s%s", host, path)
	}
	return q, path[len(q.Route.PathPrefix):], nil
}
