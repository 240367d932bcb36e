package quota

import (
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/limit"
	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// GrantArgs requests a batch of tokens and slots from an account's owner.
type GrantArgs struct {
	Account string
	Ask     limit.GrantRequest
}

// GrantReply is the owner's reply.
type GrantReply struct {
	// Owner is false if the called router doesn't consider itself the owner;
	// Batch is then empty.
	Owner bool
	Batch limit.Batch
}

// Accounts is the RPC service of an account owner.
type Accounts struct{ q *Quota }

// Service returns the RPC service, which the caller registers under
// ServiceName.
func (q *Quota) Service() *Accounts { return &Accounts{q: q} }

// Grant handles a request for a batch. The error is always nil.
func (a *Accounts) Grant(args GrantArgs, reply *GrantReply) error {
	owner, ok := a.q.opts.Board.Snapshot().Owner(accountID(args.Account))
	if !ok || owner.Name != a.q.opts.Self {
		return nil
	}
	reply.Owner = true
	reply.Batch = a.q.grantOwned(args.Account, args.Ask)
	return nil
}

func (q *Quota) grantOwned(account string, request limit.GrantRequest) limit.Batch {
	now := time.Now()
	limits := q.limits(account)
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.ledgers[account]
	if l == nil {
		l = limit.NewLedger(now, limits, 0, q.otherHolders())
		q.ledgers[account] = l
	}
	l.SetLimits(now, limits)
	return l.Grant(now, request)
}

// otherHolders returns the holder names of the routers from which a new ledger
// awaits reports.
func (q *Quota) otherHolders() []string {
	var out []string
	for _, r := range q.opts.Board.Snapshot().Live {
		if r.Name != q.opts.Self {
			out = append(out, r.HolderName())
		}
	}
	return out
}

// Sync applies a new snapshot: it drops the ledgers of accounts that this
// router no longer owns, and schedules reports to the new owners of accounts in
// use here.
func (q *Quota) Sync(snap *board.Snapshot) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	live := make([]string, 0, len(snap.Live))
	for _, r := range snap.Live {
		live = append(live, r.HolderName())
	}
	q.cache.SetLive(live)
	if slices.Equal(live, q.liveHolders) && snap.ConfigVersion == q.configVersion {
		// Owners change only with the live routers, accounts only with the
		// configuration; most snapshots concern engines.
		return
	}
	q.liveHolders, q.configVersion = live, snap.ConfigVersion
	for account := range q.ledgers {
		if owner, ok := snap.Owner(accountID(account)); !ok || owner.Name != q.opts.Self {
			delete(q.ledgers, account)
		}
	}
	if snap.Config != nil {
		q.updateOwners(now, snap)
	}
	q.reportDeadRouters(snap)
}

func (q *Quota) updateOwners(now time.Time, snap *board.Snapshot) {
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

// reportDeadRouters marks the routers that are no longer in the fleet as dead in the ledgers.
func (q *Quota) reportDeadRouters(snap *board.Snapshot) {
	known := make(map[string]bool, len(snap.Routers))
	for _, r := range snap.Routers {
		known[r.HolderName()] = true
	}
	for name := range q.knownHolders {
		if !known[name] {
			for _, l := range q.ledgers {
				l.RouterDead(name)
			}
		}
	}
	q.knownHolders = known
}
