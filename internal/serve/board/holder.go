package board

import (
	"strconv"
	"strings"
)

// holderSeparator separates a router's name from its instance.
const holderSeparator = "#"

// HolderName returns the name of a router instance as a holder of permits and of shares of
// accounts' limits. A restarted router has another name, because it holds none of the permits and
// shares of its former process.
func HolderName(router string, instance uint64) string {
	return router + holderSeparator + strconv.FormatUint(instance, 36)
}

// HolderName returns the router's name as a holder.
func (r *Router) HolderName() string { return HolderName(r.Name, r.Instance) }

// RouterOfHolder returns the name of the router that a holder's name belongs to.
func RouterOfHolder(holder string) string {
	name, _, _ := strings.Cut(holder, holderSeparator)
	return name
}
