package replica

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

// bootstrapTicks is the time between announcements of an empty founder.
const bootstrapTicks = 2

// founding is the agreement of empty founders on the first membership. Each
// learns the identities of all, durably agrees to the one membership that they
// make, and begins its log once all others have agreed to the same. So a group
// forms only out of all founders, all of them empty: replicas that lost their
// disks can never form a second group beside one that holds data.
type bootstrap struct {
	address   string
	addresses []string
	peers     map[string]founder // by address
}

type founder struct {
	id     ID
	agreed *raft.Config
}

func newBootstrap(o Options) (*bootstrap, error) {
	f := &bootstrap{address: o.Address, peers: map[string]founder{}}
	for _, p := range o.Founders {
		f.addresses = append(f.addresses, p.Address)
	}
	slices.Sort(f.addresses)
	if len(slices.Compact(slices.Clone(f.addresses))) != len(f.addresses) {
		return nil, errkind.New(errkind.BadRequest, "an address is listed twice among the founders")
	}
	if !slices.Contains(f.addresses, o.Address) {
		return nil, errkind.New(errkind.BadRequest, "%s is not among the founders: join the group instead", o.Address)
	}
	return f, nil
}

// tickBootstrap announces this replica while the group is not formed.
func (n *Node) tickBootstrap() {
	if n.bootstrap == nil || n.ticks%bootstrapTicks != 0 {
		return
	}
	for _, address := range n.bootstrap.addresses {
		if address != n.opts.Address {
			n.sendBootstrap(address)
		}
	}
	n.tryForm()
}

func (n *Node) sendBootstrap(address string) {
	m := Message{
		Kind: raft.Bootstrap,
		From: n.identity.ID,
		Bootstrap: &raft.BootstrapInfo{
			Address: n.opts.Address,
			Agreed:  n.identity.Agreed,
			Formed:  n.bootstrap == nil,
		},
	}
	if n.bootstrap != nil {
		m.Bootstrap.Addresses = n.bootstrap.addresses
	}
	n.opts.Transport.Send(address, []Message{m})
}

func (n *Node) receiveBootstrap(r receivedMessage) {
	f := r.msg.Bootstrap
	if f == nil || r.msg.From == n.identity.ID || r.msg.From == raft.None {
		return
	}
	switch {
	case n.bootstrap == nil:
		if !f.Formed && n.core.Last().Index > 0 {
			n.sendBootstrap(f.Address)
		}
	case f.Formed:
		n.handleFormedGroup(f)
	case !slices.Equal(f.Addresses, n.bootstrap.addresses):
		n.logger.Error("founders are listed differently", "peer", f.Address, "there", f.Addresses, "here", n.bootstrap.addresses)
	default:
		n.recordFounder(f.Address, founder{id: r.msg.From, agreed: f.Agreed})
		n.tryAgree()
		n.tryForm()
	}
}

// recordFounder keeps what a founder says of itself.
func (n *Node) recordFounder(address string, f founder) {
	changed := n.bootstrap.peers[address].id != f.id
	n.bootstrap.peers[address] = f
	if !changed || n.identity.Agreed == nil {
		return
	}
	if _, ok := n.identity.Agreed.Find(f.id); !ok {
		n.logger.Error("a founder lost its disk while the group formed: unless another replica has formed it, empty all data folders", "founder", address)
	}
}

// handleFormedGroup is told of a group that exists. This replica is part of it only
// where it has itself agreed to its membership.
func (n *Node) handleFormedGroup(f *raft.BootstrapInfo) {
	if sameConfig(n.identity.Agreed, f.Agreed) {
		n.form()
		return
	}
	n.fail(fmt.Errorf("replica: the group exists already and this data folder is empty: " +
		"join it as the replacement of a lost replica"))
}

// tryAgree agrees to the membership of all founders once their identities are known.
func (n *Node) tryAgree() {
	if n.identity.Agreed != nil {
		return
	}
	var peers []raft.Peer
	for _, address := range n.bootstrap.addresses {
		id := n.bootstrap.peers[address].id
		if address == n.opts.Address {
			id = n.identity.ID
		}
		if id == raft.None {
			return
		}
		peers = append(peers, raft.Peer{ID: id, Address: address, Voter: true})
	}
	if err := n.identity.agree(raft.NewConfig(peers)); err != nil {
		n.fail(err)
	}
}

// tryForm begins the log once all founders have agreed to the same membership.
func (n *Node) tryForm() {
	if n.bootstrap == nil {
		return
	}
	n.tryAgree()
	if n.identity.Agreed == nil {
		return
	}
	for _, address := range n.bootstrap.addresses {
		if address == n.opts.Address {
			continue
		}
		if !sameConfig(n.identity.Agreed, n.bootstrap.peers[address].agreed) {
			return
		}
	}
	n.form()
}

func (n *Node) form() {
	n.bootstrap = nil
	n.core.Bootstrap(*n.identity.Agreed)
	n.core.Campaign()
	n.logger.Info("group formed", "id", n.identity.ID, "voters", n.identity.Agreed.Voters())
}

func sameConfig(a, b *raft.Config) bool {
	return a != nil && b != nil && bytes.Equal(a.Encode(), b.Encode())
}
