package control

import (
	"context"
	"strconv"

	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/declare"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/replica"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// leaderHandler handles a call on the leader, in the control goroutine. It calls done
// once, possibly later.
type leaderHandler[Req, Resp any] func(l *leader, from wire.Peer, req *Req, done reply[Resp])

// onLeader registers a handler of a call that only a leader in contact with its quorum
// answers.
func onLeader[Req, Resp any](s *Server, k wire.Kind, fn leaderHandler[Req, Resp]) {
	wire.Handle(s.opts.Endpoint, k, func(ctx context.Context, from wire.Peer, req *Req) (*Resp, error) {
		resp, err := callControl(ctx, s, func(c *core, done reply[Resp]) {
			l, err := c.leading()
			if err != nil {
				done(nil, err)
				return
			}
			if err := l.checkCaller(req); err != nil {
				done(nil, err)
				return
			}
			fn(l, from, req, done)
		})
		if err != nil {
			s.metrics.callRefused(errkind.Of(err))
		}
		return resp, err
	})
}

// register registers the handlers of the inner protocol.
func (s *Server) register() {
	onLeader(s, wire.KindSubmit, (*leader).submit)
	onLeader(s, wire.KindSubmitWorkflow, (*leader).submitWorkflow)
	onLeader(s, wire.KindGetWorkflow, (*leader).getWorkflow)
	onLeader(s, wire.KindCancelWorkflow, (*leader).cancelWorkflow)
	onLeader(s, wire.KindQueue, (*leader).queue)
	onLeader(s, wire.KindHeartbeat, (*leader).heartbeat)
	onLeader(s, wire.KindHeartbeats, (*leader).heartbeatsReceived)
	onLeader(s, wire.KindDocument, (*leader).document)
	onLeader(s, wire.KindGetJob, (*leader).getJob)
	onLeader(s, wire.KindListJobs, (*leader).listJobs)
	onLeader(s, wire.KindCancel, (*leader).cancel)
	onLeader(s, wire.KindDeclare, (*leader).declare)
	onLeader(s, wire.KindDeclarations, (*leader).declarations)
	onLeader(s, wire.KindKey, (*leader).key)
	onLeader(s, wire.KindWorkers, (*leader).workers)
	onLeader(s, wire.KindSetMode, (*leader).setMode)
	onLeader(s, wire.KindSetEvacuation, (*leader).setEvacuation)
	onLeader(s, wire.KindStatus, (*leader).status)
	onLeader(s, wire.KindRegister, (*leader).register)
	onLeader(s, wire.KindAnnounce, (*leader).announce)
	onLeader(s, wire.KindRenew, (*leader).renew)
	onLeader(s, wire.KindReports, (*leader).reports)
	onLeader(s, wire.KindPermits, (*leader).grantPermits)
	onLeader(s, wire.KindOwners, (*leader).renewOwnership)
	onLeader(s, wire.KindJournalStart, (*leader).journalStart)
	onLeader(s, wire.KindJournalEnd, (*leader).journalEnd)
	wire.Handle(s.opts.Endpoint, wire.KindProbe, s.probe)
	wire.Handle(s.opts.Endpoint, wire.KindReplaceReplica, s.replace)
}

// probe returns the current leader. Any control process answers, without its control
// goroutine.
func (s *Server) probe(context.Context, wire.Peer, *proto.Empty) (*proto.Probe, error) {
	st := s.opts.Log.Status()
	p := &proto.Probe{Term: st.Term, Leader: st.LeaderAddress}
	p.Ready = st.Role == raft.Leader && s.opts.Log.LeaseValid()
	for _, m := range st.Members {
		p.Peers = append(p.Peers, m.Address)
	}
	return p, nil
}

// replace replaces a dead replica by a new one. It runs outside of the control
// goroutine, since it lasts until the new replica has caught up.
func (s *Server) replace(ctx context.Context, _ wire.Peer, req *proto.Replace) (*proto.Empty, error) {
	id := replica.ID(req.ID)
	if req.Dead == "" {
		return s.admitReplica(ctx, id, req.Address)
	}
	dead, err := deadReplica(s.opts.Log.Status().Members, id, req.Dead)
	if err != nil {
		return nil, err
	}
	s.log.Info("Replica joins.", "id", id, "address", req.Address, "replaces", dead)
	if err := s.opts.Log.Replace(ctx, dead, id, req.Address); err != nil {
		return nil, err
	}
	return &proto.Empty{}, nil
}

// admitReplica adds a replica that names no replica to replace. If another replica was
// at its address, that one has lost its disk and is replaced.
func (s *Server) admitReplica(ctx context.Context, id replica.ID, address string) (*proto.Empty, error) {
	if dead, err := deadReplica(s.opts.Log.Status().Members, id, address); err == nil {
		s.log.Info("Replica replaces the one that was at its address.", "id", id, "address", address, "replaces", dead)
		return &proto.Empty{}, s.opts.Log.Replace(ctx, dead, id, address)
	}
	s.log.Info("Replica joins.", "id", id, "address", address)
	if err := s.opts.Log.AddLearner(ctx, id, address); err != nil {
		return nil, err
	}
	if err := s.opts.Log.Promote(ctx, id); err != nil {
		return nil, err
	}
	return &proto.Empty{}, nil
}

// deadReplica returns the replica at an address that the replica id replaces.
func deadReplica(members []replica.Member, id replica.ID, address string) (replica.ID, error) {
	for _, m := range members {
		if m.Address == address && m.ID != id {
			return m.ID, nil
		}
	}
	return 0, errkind.New(errkind.BadRequest, "no replica has the address %s: set control.replaces to the address of the dead replica", address)
}

// statusOf returns the status of the deployment as the leader knows it.
func (l *leader) statusOf() api.Status {
	st := l.c.s.opts.Log.Status()
	stats := l.sched.Stats()
	version, _, _ := l.c.machine.Config()
	out := api.Status{
		Leader:  st.LeaderAddress,
		Term:    l.term,
		Index:   l.c.machine.Index(),
		Version: version,
		Jobs:    int64(l.c.machine.JobCount()),
		Running: int64(stats.Running),
		Waiting: int64(stats.Waiting),
		Workers: int64(stats.Workers),

		PastUseHalfLife: l.c.machine.PastUseHalfLife(),
		AcceptedBytes:   l.c.machine.AcceptedBytes(),
		AcceptedLimit:   l.acceptedLimit(),
	}
	for _, m := range st.Members {
		out.Replicas = append(out.Replicas, api.ReplicaView{
			ID: strconv.FormatUint(uint64(m.ID), 16), Address: m.Address, Voter: m.Voter, MatchIndex: m.Match})
	}
	out.Entries = l.entryViews()
	out.Teams = l.teamViews()
	out.Evacuations = l.evacuationViews()
	return out
}

// keyedRequest is a request on behalf of the holder of a key.
type keyedRequest interface{ From() proto.Caller }

// checkCaller checks the key of a call against the newest configuration. The entry has
// checked it before, but may have been suspended since.
func (l *leader) checkCaller(req any) error {
	r, ok := req.(keyedRequest)
	if !ok {
		return nil
	}
	caller := r.From()
	if caller.Operator && caller.Network {
		return nil
	}
	k, granted := l.c.machine.Key(caller.Key)
	if granted && k.Operator && caller.Operator {
		return nil
	}
	if granted && k.Team == caller.Team && !caller.Operator {
		return nil
	}
	if l.isBootstrapCaller(caller) {
		return nil
	}
	if l.c.machine.KeyWithdrawn(caller.Key) {
		return errkind.New(errkind.KeyWithdrawn, "the key has been withdrawn")
	}
	return errkind.New(errkind.KeyUnknown, "the key is not granted")
}

// isBootstrapCaller reports whether the caller holds the bootstrap operator key, which
// is valid while no operator key is granted.
func (l *leader) isBootstrapCaller(caller proto.Caller) bool {
	first := l.c.s.opts.Bootstrap
	return caller.Operator && first != "" && !l.c.machine.HasOperator() && declare.SameDigest(caller.Key, first)
}
