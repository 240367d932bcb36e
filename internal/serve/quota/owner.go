package quota

import (
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/limit"
	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// GrantArgs asks the owner of an account for a batch.
type GrantArgs struct {
	Account string
	Ask     limit.GrantRequest
}

// GrantReply is the owner's answer.
type GrantReply struct {
	// Owner is false where the asked router does not take itself for the owner.
	Owner bool
	Batch limit.Batch
}

// Accounts is the RPC service of the accounts' owners.
type Accounts struct{ q *Quota }

// Service returns the RPC service, to be registered under ServiceName.
func (q *Quota) Service() *Accounts { return &Accounts{q: q} }

// Grant answers an ask.
func (a *Accounts) Grant(args GrantArgs, reply *GrantReply) error {
	owner, ok := a.q.opts.Board.Snapshot().Owner(accountID(args.Account))
	if !ok || owner.Name != a.q.opts.Self {
		return nil
	}
	reply.Owner = true
	reply.Batch = a.q.grant(args.Account, args.Ask)
	return nil
}

func (q *Quota) grant(account string, ask limit.GrantRequest) limit.Batch {
	now := time.Now()
	limits := q.limits(account)
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.ledgers[account]
	if l == nil {
		l = limit.NewLedger(now, limits, 0, q.others())
		q.ledgers[account] = l
	}
	l.SetLimits(now, limits)
	return l.Grant(now, ask)
}

// others are the routers whose reports a new ledger waits for.
func (q *Quota) others() []string {
	var out []string
	for _, r := range q.opts.Board.Snapshot().Live {
		if r.Name != q.opts.Self {
			out = append(out, r.HolderName())
		}
	}
	return out
}

// Sync takes in a new snapshot: ledgers of accounts that moved away are closed,
// and the new owners of accounts in use here are told what this router holds.
func (q *Quota) Sync(snap *board.Snapshot) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	live := make([]string, 0, len(snap.Live))
	for _, r := range snap.Live {
		live = append(live, r.HolderName())
	}
	q.cache.SetLive(live)
	if slices.Equal(live, q.live) && snap.ConfigVersion == q.version {
		// Owners move only with the routers; most snapshots are about engines.
		return
	}
	q.live, q.version = live, snap.ConfigVersion
	for account := range q.ledgers {
		if owner, ok := snap.Owner(accountID(account)); !ok || owner.Name != q.opts.Self {
			delete(q.ledgers, account)
		}
	}
	if snap.Config != nil {
		q.followOwners(now, snap)
	}
	q.buryDead(snap)
}

func (q *Quota) followOwners(now time.Time, snap *board.Snapshot) {
	for i := range snap.Config.Accounts {
		a := &snap.Config.Accounts[i]
		owner, ok := snap.Owner(accountID(a.Name))
		if !ok || q.owners[a.Name] == owner.Name {
			continue
		}
		if q.owners[a.Name] != "" {
			q.cache.OwnerChanged(now, a.Name)
		}
		q.owners[a.Name] = owner.Name
	}
}

// buryDead tells the ledgers which routers are gone.
func (q *Quota) buryDead(snap *board.Snapshot) {
	known := make(map[string]bool, len(snap.Routers))
	for _, r := range snap.Routers {
		known[r.HolderName()] = true
	}
	for name := range q.seen {
		if !known[name] {
			for _, l := range q.ledgers {
				l.RouterDead(name)
			}
		}
	}
	q.seen = known
}
