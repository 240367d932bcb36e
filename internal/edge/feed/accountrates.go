package feed

import (
	"maps"

	"damaskrouter.example/damaskrouter/internal/decide/fairshare"
)

// AccountKey identifies the requests of a client account to a service. The account of public routes
// is empty.
type AccountKey struct{ Service, Account string }

// AccountRates are the rates of requests by account and service. Routers report them only while the
// service is congested.
type AccountRates map[AccountKey]fairshare.Rates

// add adds the rates of other routers.
func (a AccountRates) add(o AccountRates) {
	for key, rates := range o {
		a[key] = a[key].Add(rates)
	}
}

// round rounds the rates and drops those that are zero.
func (a AccountRates) round() {
	for key, rates := range a {
		if rates = rates.Rounded(); rates == (fairshare.Rates{}) {
			delete(a, key)
			continue
		}
		a[key] = rates
	}
}

// changesFrom returns the rates that differ from those last reported. A zero entry removes an account.
func (a AccountRates) changesFrom(last AccountRates) AccountRates {
	out := make(AccountRates)
	for key, rates := range a {
		if old, known := last[key]; !known || rates.Differ(old) {
			out[key] = rates
		}
	}
	for key := range last {
		if _, present := a[key]; !present {
			out[key] = fairshare.Rates{}
		}
	}
	return out
}

// after returns the rates after the changes of a report. The receiver may be nil and is changed.
func (a AccountRates) after(changes AccountRates) AccountRates {
	if a == nil && len(changes) > 0 {
		a = make(AccountRates)
	}
	maps.Copy(a, changes)
	maps.DeleteFunc(a, func(_ AccountKey, rates fairshare.Rates) bool { return rates == (fairshare.Rates{}) })
	return a
}
