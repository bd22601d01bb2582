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
	joinAttemptTimeout = 10 * time.Minute // of one try: the catching up is part of it
)

// join asks the leader to put this replica in the place of a dead one, until it
// is a voter. The dead replica is the one at the address that the settings
// name, or else one that was at this process's own address and lost its disk.
func (p *Process) join(ctx context.Context) {
	logger := p.log.WithPrefix(obs.PrefixMember)
	for ctx.Err() == nil && !p.isVoter() {
		if err := p.joinOnce(ctx); err != nil {
			logger.Info("Not yet a voter, trying again.", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
	if ctx.Err() == nil {
		logger.Info("This replica votes.", "id", p.node.Status().ID)
	}
}

// isVoter reports whether this replica's own copy of the membership lists it as a voter.
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
	_, err = wire.Call[proto.Replace, proto.Empty](ctx, p.endpoint, found.Leader, wire.KindReplace, req)
	return err
}

func (p *Process) otherFounders() []string {
	return slices.DeleteFunc(slices.Clone(p.settings.Control.Founders), func(a string) bool {
		return a == p.settings.Inner.Address
	})
}
