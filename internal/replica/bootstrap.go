package replica

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/filbertmast/filbertmast/internal/errkind"
	"github.com/filbertmast/filbertmast/internal/replica/raft"
)

// bootstrapTicks is the number of ticks between announcements of an empty
// founder.
const bootstrapTicks = 2

// bootstrap is the agreement of empty founders on the initial membership. Each
// founder learns the identities of all others, durably agrees to the one
// membership that they form, and starts its log once all others have agreed to
// the same one. A group therefore forms only from all founders, all of them
// empty: replicas that lost their disks can never form a second group beside one
// that holds data.
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
		return nil, errkind.New(errkind.BadRequest, "the list of founders contains an address twice")
	}
	if !slices.Contains(f.addresses, o.Address) {
		return nil, errkind.New(errkind.BadRequest, "%s is not one of the founders; join the existing group instead", o.Address)
	}
	return f, nil
}

// tickBootstrap announces this replica to the other founders until the group is
// formed.
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
		n.logger.Error("ignored a founder whose list of founders differs", "peer", f.Address, "there", f.Addresses, "here", n.bootstrap.addresses)
	default:
		n.recordFounder(f.Address, founder{id: r.msg.From, agreed: f.Agreed})
		n.tryAgree()
		n.tryForm()
	}
}

// recordFounder stores the identity and the agreement that a founder announced.
func (n *Node) recordFounder(address string, f founder) {
	changed := n.bootstrap.peers[address].id != f.id
	n.bootstrap.peers[address] = f
	if !changed || n.identity.Agreed == nil {
		return
	}
	if _, ok := n.identity.Agreed.Find(f.id); !ok {
		n.logger.Error("founder lost its disk during bootstrap; unless another replica has formed the group, empty all data folders and start again", "founder", address)
	}
}

// handleFormedGroup handles the announcement of a group that already exists. This
// replica belongs to that group only if it has durably agreed to its membership.
func (n *Node) handleFormedGroup(f *raft.BootstrapInfo) {
	if sameConfig(n.identity.Agreed, f.Agreed) {
		n.form()
		return
	}
	n.fail(fmt.Errorf("replica: the group exists already but this data folder is empty: " +
		"let this replica join as the replacement of a lost one"))
}

// tryAgree durably agrees to the membership of all founders once their identities
// are known.
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

// tryForm starts the log once all founders have agreed to the same membership.
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
