package router

import (
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// budgetRouters is the number of routers that the budgets in the settings are meant for. The
// budgets apply to each process: without a smaller share for each, a larger fleet could exceed the
// capacity of the store, which would then reject claims.
const budgetRouters = 9

// storeUses are the uses of the table service that have a budget.
var storeUses = []platform.Use{
	platform.UseClaim, platform.UseConfig, platform.UseAudit, platform.UseAdmin,
}

// storeBudget is this router's share of the table service.
type storeBudget struct {
	*platform.Budget
	total platform.Rates
	live  int
}

func newStoreBudget(budgets settings.Budgets) *storeBudget {
	b := &storeBudget{live: budgetRouters}
	rates := make(map[platform.Use]platform.Rates)
	for _, use := range storeUses {
		budget := budgets.For(use)
		rates[use] = platform.Rates{Reads: budget.Reads, Writes: budget.Writes}
		b.total.Reads += budget.Reads
		b.total.Writes += budget.Writes
	}
	b.Budget = platform.NewBudget(platform.BudgetOptions{Total: b.total, PerUse: rates})
	return b
}

// updateShare lowers the total if the fleet is larger than the budgets are meant for. It must only
// be called on the board's goroutine.
func (b *storeBudget) updateShare(snap *board.Snapshot) {
	live := max(len(snap.Live), budgetRouters)
	if live == b.live {
		return
	}
	b.live = live
	b.SetTotal(shareOf(b.total, live))
}

func shareOf(total platform.Rates, live int) platform.Rates {
	fraction := float64(budgetRouters) / float64(max(live, budgetRouters))
	return platform.Rates{Reads: total.Reads * fraction, Writes: total.Writes * fraction}
}
