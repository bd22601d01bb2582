package server

import (
	"context"
	"slices"
	"time"

	"github.com/filbertmast/filbertmast/internal/discover"
	"github.com/filbertmast/filbertmast/internal/obs"
	"github.com/filbertmast/filbertmast/internal/proto"
	"github.com/filbertmast/filbertmast/internal/wire"
)

const (
	joinRetryInterval  = 250 * time.Millisecond
	joinAttemptTimeout = 10 * time.Minute // includes the time in which the replica catches up
)

// join asks the leader to replace a dead replica by this one and retries until
// this replica is a voter. The dead replica is the one at the address that the
// settings name; without such an address and without seeds it is the previous
// replica at this process's own address, whose disk was lost.
func (p *Process) join(ctx context.Context) {
	logger := p.log.WithPrefix(obs.PrefixMember)
	for ctx.Err() == nil && !p.isVoter() {
		if err := p.joinOnce(ctx); err != nil {
			logger.Info("Joining as a voter failed; trying again.", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
	if ctx.Err() == nil {
		logger.Info("This replica is a voter.", "id", p.node.Status().ID)
	}
}

// isVoter reports whether this replica's own copy of the membership lists it as
// a voter.
func (p *Process) isVoter() bool {
	st := p.node.Status()
	for _, m := range st.Members {
		if m.ID == st.ID {
			return m.Voter
		}
	}
	return false
}

func (p *Process) joinOnce(ctx context.Context) error {
	found, err := discover.Leader(ctx, p.endpoint, p.otherFounders())
	if err != nil {
		return err
	}
	dead := p.settings.Control.Replaces
	if dead == "" && len(p.settings.Control.Seeds) == 0 {
		dead = p.settings.Inner.Address
	}
	ctx, cancel := context.WithTimeout(ctx, joinAttemptTimeout)
	defer cancel()
	req := &proto.Replace{Dead: dead, ID: uint64(p.node.Status().ID), Address: p.settings.Inner.Address}
	_, err = wire.Call[proto.Replace, proto.Empty](ctx, p.endpoint, found.Leader, wire.KindReplaceReplica, req)
	return err
}

func (p *Process) otherFounders() []string {
	return slices.DeleteFunc(slices.Clone(p.settings.Control.Founders), func(a string) bool {
		return a == p.settings.Inner.Address
	})
}
