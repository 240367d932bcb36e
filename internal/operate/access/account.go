package access

import (
	"slices"

	"damaskrouter.example/damaskrouter/internal/store/config"
)

// Accounts finds the client account of an API key. It is immutable; make a new
// one for each version of the configuration.
type Accounts struct {
	index hashIndex[*config.Account]
}

// NewAccounts indexes the key hashes of accounts.
func NewAccounts(accounts []config.Account) (*Accounts, error) {
	a := &Accounts{index: hashIndex[*config.Account]{}}
	for i := range accounts {
		for _, text := range accounts[i].KeyHashes {
			h, err := ParseHash(text)
			if err != nil {
				return nil, err
			}
			if err := a.index.add(h, &accounts[i]); err != nil {
				return nil, err
			}
		}
	}
	return a, nil
}

// Authenticate returns the account of an API key, or an ErrUnauthenticated.
func (a *Accounts) Authenticate(key string) (*config.Account, error) {
	return a.index.find(key, PrefixAPIKey)
}

// AuthorizeModel returns a *DeniedError if account may not use model.
func AuthorizeModel(account *config.Account, model string) error {
	if len(account.Models) == 0 || slices.Contains(account.Models, model) {
		return nil
	}
	return &DeniedError{Principal: account.Name, Action: ActionUseModel, Reason: ReasonNotListed}
}

// AuthorizeService returns a *DeniedError if account may not call service.
// Unlike models, services are closed unless listed: their calls have effects.
func AuthorizeService(account *config.Account, service string) error {
	if slices.Contains(account.Services, service) {
		return nil
	}
	return &DeniedError{Principal: account.Name, Action: ActionCallService, Reason: ReasonNotListed}
}
