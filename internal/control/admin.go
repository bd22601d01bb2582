package control

import (
	"github.com/filbertmast/filbertmast/internal/api"
	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/state"
	"github.com/filbertmast/filbertmast/internal/wire"
)

func (l *leader) declare(_ wire.Peer, req *proto.Declare, done reply[api.Applied]) {
	a := &req.Apply
	cmd := &state.Declare{
		Base: a.Base, ApplyID: a.ApplyID, Declarations: a.Declarations,
		Revision: a.Revision, Document: a.Document,
	}
	l.c.propose(&state.Command{Declare: cmd}, appliedReply(done))
}

func (l *leader) key(_ wire.Peer, req *proto.Key, done reply[api.Applied]) {
	cmd := &state.Command{GrantKey: &state.GrantKey{Key: req.Key}}
	if req.Withdraw {
		cmd = &state.Command{WithdrawKey: &state.WithdrawKey{Digest: req.Key.Digest}}
	}
	l.c.propose(cmd, appliedReply(done))
}

func appliedReply(done reply[api.Applied]) func(state.Result, error) {
	return func(r state.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		done(&api.Applied{Version: r.Version, Digest: r.Digest}, nil)
	}
}

func (l *leader) declarations(_ wire.Peer, _ *proto.Empty, done reply[api.DeclarationsView]) {
	version, digest, d := l.c.machine.Config()
	replyIfLeading(l.c, done, &api.DeclarationsView{Version: version, Digest: digest, Declarations: *d})
}

func (l *leader) workers(_ wire.Peer, _ *proto.Empty, done reply[proto.Workers]) {
	out := &proto.Workers{}
	for _, w := range l.c.machine.Workers() {
		out.Workers = append(out.Workers, l.workerView(w))
	}
	replyIfLeading(l.c, done, out)
}

func (l *leader) workerView(w *state.Worker) api.WorkerView {
	_, _, probation, _ := l.sched.Worker(w.Spec.ID)
	view := api.WorkerView{
		Spec:        w.Spec,
		Mode:        w.Mode.String(),
		Reserved:    w.Reserved,
		Tasks:       int32(len(w.Held)),
		OnProbation: probation,
	}
	if w.Speed != nil {
		view.SpeedPermille = w.Speed.Permille()
	}
	return view
}

func (l *leader) setMode(_ wire.Peer, req *proto.SetMode, done reply[api.WorkerView]) {
	cmd := &state.SetMode{Worker: req.Worker, Mode: req.Mode}
	l.c.propose(&state.Command{SetMode: cmd}, func(_ state.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		view := l.workerView(l.c.machine.Worker(req.Worker))
		done(&view, nil)
	})
}

func (l *leader) status(_ wire.Peer, _ *proto.Empty, done reply[api.Status]) {
	st := l.statusOf()
	replyIfLeading(l.c, done, &st)
}

func (l *leader) teamViews() []api.TeamView {
	_, _, d := l.c.machine.Config()
	now := l.c.s.now()
	out := make([]api.TeamView, 0, len(d.Teams))
	for i := range d.Teams {
		t := &d.Teams[i]
		held, reserved := l.c.machine.TeamUsage(t.Name)
		account := l.c.machine.Account(t.Name)
		out = append(out, api.TeamView{
			Team:           t.Name,
			Running:        held,
			Limit:          t.MaxRunning,
			Reserved:       reserved,
			AcceptedBytes:  l.c.machine.TeamAcceptedBytes(t.Name),
			Charged:        account.Charged,
			Refunded:       account.Refunded,
			RequestPermits: l.permits.Outstanding(t.Name),
			PastUse:        l.pastUse.view(t.Name, now),
		})
	}
	return out
}

func (l *leader) journalStart(_ wire.Peer, req *proto.JournalStart, done reply[proto.JournalStarted]) {
	deadline := l.c.s.now().Add(req.Remaining.Std())
	cmd := &state.JournalStart{Key: req.Key, Digest: req.Digest, Entry: req.Entry, Deadline: deadline}
	l.c.propose(&state.Command{JournalStart: cmd}, func(r state.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		done(&proto.JournalStarted{Result: r.Journal}, nil)
	})
}

func (l *leader) journalEnd(_ wire.Peer, req *proto.JournalEnd, done reply[proto.Empty]) {
	cmd := &state.JournalEnd{Key: req.Key, Fence: req.Fence, Answer: req.Answer, Ran: req.Ran}
	l.c.propose(&state.Command{JournalEnd: cmd}, func(_ state.Result, err error) {
		if errkind.Is(err, errkind.StaleFence) {
			err = nil // a newer record has replaced this one, so there is nothing to end
		}
		done(&proto.Empty{}, err)
	})
}
