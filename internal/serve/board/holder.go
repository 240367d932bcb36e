package board

import (
	"strconv"
	"strings"
)

// holderMark stands between a router's name and its instance.
const holderMark = "#"

// HolderName names a router as a holder of permits and of shares of accounts'
// limits. A restarted router has another name: it holds nothing of what its
// former process held.
func HolderName(router string, instance uint64) string {
	return router + holderMark + strconv.FormatUint(instance, 36)
}

// HolderName is the router's name as a holder.
func (r *Router) HolderName() string { return HolderName(r.Name, r.Instance) }

// RouterOfHolder returns the name of the router behind a holder's name.
func RouterOfHolder(holder string) string {
	name, _, _ := strings.Cut(holder, holderMark)
	return name
}
