package entry

import (
	"context"
	"time"

	"github.com/filbertmast/filbertmast/internal/journal"
	"github.com/filbertmast/filbertmast/internal/limit"
	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

// permitUpstream sends permit requests to the leader.
type permitUpstream struct{ s *Server }

// RequestPermits implements limit.Upstream.
func (u permitUpstream) RequestPermits(ctx context.Context, demands []limit.Demand) ([]limit.Grant, error) {
	req := &proto.Permits{Entry: u.s.self.Name, Incarnation: u.s.self.Incarnation, Demands: demands}
	resp, err := tryLeader[proto.Permits, proto.Granted](ctx, u.s.leader, wire.KindPermits, req, 0)
	if err != nil {
		return nil, err
	}
	return resp.Grants, nil
}

// journalUpstream writes the journal records of requests at the leader.
type journalUpstream struct{ s *Server }

// Start implements route.JournalClient.
func (u journalUpstream) Start(ctx context.Context, key journal.Key, digest [32]byte, writer string, deadline time.Time) (journal.StartResult, error) {
	req := &proto.JournalStart{Key: key, Digest: digest, Entry: writer, Remaining: model.Duration(time.Until(deadline))}
	resp, err := callLeader[proto.JournalStart, proto.JournalStarted](ctx, u.s.leader, wire.KindJournalStart, req, 0)
	if err != nil {
		return journal.StartResult{}, err
	}
	return resp.Result, nil
}

// Finish implements route.JournalClient.
func (u journalUpstream) Finish(ctx context.Context, key journal.Key, fence model.Fence, a *journal.Answer) error {
	return u.end(ctx, &proto.JournalEnd{Key: key, Fence: fence, Answer: a, Ran: true})
}

// Abandon implements route.JournalClient.
func (u journalUpstream) Abandon(ctx context.Context, key journal.Key, fence model.Fence, ran bool) error {
	return u.end(ctx, &proto.JournalEnd{Key: key, Fence: fence, Ran: ran})
}

func (u journalUpstream) end(ctx context.Context, req *proto.JournalEnd) error {
	_, err := callLeader[proto.JournalEnd, proto.Empty](ctx, u.s.leader, wire.KindJournalEnd, req, 0)
	return err
}
