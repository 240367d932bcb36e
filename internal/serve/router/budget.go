package router

import (
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// budgetRouters is the size of the fleet that the budgets in the settings are
// for. They hold for each process: without a share, a larger fleet could ask
// more of the store than it takes, and one would see claims refused by it.
const budgetRouters = 9

// storeUses are the uses that have a budget.
var storeUses = []platform.Use{
	platform.UseClaim, platform.UseConfig, platform.UseAudit, platform.UseAdmin,
}

// storeBudget is the router's share of the table service.
type storeBudget struct {
	*platform.Budget
	total platform.Rates
	live  int
}

func newStoreBudget(budgets settings.Budgets) *storeBudget {
	b := &storeBudget{live: budgetRouters}
	rates := make(map[platform.Use]platform.Rates)
	for _, use := range storeUses {
		share := budgets.For(use)
		rates[use] = platform.Rates{Reads: share.Reads, Writes: share.Writes}
		b.total.Reads += share.Reads
		b.total.Writes += share.Writes
	}
	b.Budget = platform.NewBudget(platform.BudgetOptions{Total: b.total, PerUse: rates})
	return b
}

// share lowers the total in a fleet larger than the budgets are for. It is
// called from the board's goroutine only.
func (b *storeBudget) share(snap *board.Snapshot) {
	live := max(len(snap.Live), budgetRouters)
	if live == b.live {
		return
	}
	b.live = live
	b.SetTotal(shareOf(b.total, live))
}

func shareOf(total platform.Rates, live int) platform.Rates {
	part := float64(budgetRouters) / float64(max(live, budgetRouters))
	return platform.Rates{Reads: total.Reads * part, Writes: total.Writes * part}
}
