package config

import (
	"cmp"
	"slices"
)

// offeringKind is the kind of an offering.
type offeringKind string

const (
	kindModel   offeringKind = "model"
	kindAdapter offeringKind = "adapter"
	kindService offeringKind = "service"
)

// activePrefix marks the file name of a problem in the active version, as
// opposed to the change.
const activePrefix = "in force: "

// offering is a model, an adapter of a model or a plain service that a site
// serves to callers.
type offering struct {
	kind    offeringKind
	name    string
	adapter string
}

// String returns the name of the offering for messages to operators.
func (o offering) String() string {
	if o.kind == kindAdapter {
		return "adapter " + o.adapter + " of model " + o.name
	}
	return string(o.kind) + " " + o.name
}

func compareOfferings(a, b offering) int {
	return cmp.Or(
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(a.name, b.name),
		cmp.Compare(a.adapter, b.adapter),
	)
}

// ValidateChange checks a change from one valid bundle to another: no site may
// lose its last pool, and no site may stop serving a model, adapter or plain
// service unless the new bundle confirms it.
//
// Without this check, a pool moved to another site, or a model renamed only in
// its pool, would be a valid configuration, and callers at the site would get
// "unknown model" seconds after the change. To withdraw an offering on purpose,
// remove it from the document, set retire on the model, or set retire on the
// pool in the site's overlay.
func ValidateChange(old, new Bundle) []Problem {
	withdrawals, emptiedSites := compareBundles(old, new)
	return append(emptiedSites, withdrawals...)
}

// compareBundles returns the problems of a change: withdrawals that the new
// bundle does not confirm, and sites that lose their last pool. Only withdrawals
// can be waived.
func compareBundles(old, new Bundle) (withdrawals, emptiedSites Problems) {
	newParsed, err := new.Parse()
	if err != nil {
		return nil, asProblems(err)
	}
	oldParsed, err := old.Parse()
	if err != nil {
		return unreadableProblems(err), nil
	}
	for _, site := range oldParsed.Document.Sites {
		siteWithdrawals, siteEmptied := compareSite(oldParsed, newParsed, site.Name)
		withdrawals = append(withdrawals, siteWithdrawals...)
		emptiedSites = append(emptiedSites, siteEmptied...)
	}
	return withdrawals, emptiedSites
}

// unreadableProblems reports an old bundle that this program can't read. These
// problems count as withdrawals, which can be waived: otherwise no change could
// ever follow a version that a later program rejects.
func unreadableProblems(err error) Problems {
	problems := asProblems(err)
	for i := range problems {
		problems[i].File = activePrefix + problems[i].File
	}
	return problems
}

// compareSite compares the offerings of one site before and after a change. The
// removal of a site from the document is intended and not a problem.
func compareSite(oldParsed, newParsed *Parsed, site string) (withdrawals, emptiedSites Problems) {
	oldSite, err := NewEffective(oldParsed.Document, oldParsed.Overlays, site)
	if err != nil {
		return nil, nil
	}
	newSite, err := NewEffective(newParsed.Document, newParsed.Overlays, site)
	if err != nil {
		return nil, nil
	}
	if len(oldSite.Pools) > 0 && len(newSite.Pools) == 0 {
		emptiedSites = append(emptiedSites, newParsed.siteProblem(site, "site %s would have no pool left", site))
	}
	remaining := newSite.offerings()
	for _, o := range oldSite.offerings() {
		if slices.Contains(remaining, o) || newParsed.confirmsWithdrawal(oldSite, o) {
			continue
		}
		withdrawals = append(withdrawals, newParsed.siteProblem(site,
			"site %s would stop serving %s; confirm with retire", site, o))
	}
	return withdrawals, emptiedSites
}

// confirmsWithdrawal reports whether the new bundle p confirms that the site may
// stop serving the offering.
func (p *Parsed) confirmsWithdrawal(oldSite *Effective, o offering) bool {
	if o.kind == kindService {
		return p.confirmsServiceWithdrawal(oldSite, o.name)
	}
	model := p.model(o.name)
	if model == nil || model.Retire {
		return true
	}
	if o.kind == kindAdapter && !slices.Contains(model.Adapters, o.adapter) {
		return true
	}
	return p.poolsRetired(oldSite, oldSite.PoolsFor(o.name, o.adapter))
}

func (p *Parsed) confirmsServiceWithdrawal(oldSite *Effective, name string) bool {
	listed := slices.ContainsFunc(p.Document.Services, func(s Service) bool { return s.Name == name })
	if !listed {
		return true
	}
	service, _ := oldSite.Service(name)
	pool, _ := oldSite.Pool(service.Pool)
	return p.poolsRetired(oldSite, []*Pool{pool})
}

// poolsRetired reports whether the site's overlay retires all the given pools.
func (p *Parsed) poolsRetired(oldSite *Effective, pools []*Pool) bool {
	overlay := p.Overlays[oldSite.Site.Name]
	for _, pool := range pools {
		poolOverlay := overlay.pool(pool.Name)
		if poolOverlay == nil || !poolOverlay.Retire {
			return false
		}
	}
	return true
}

func (p *Parsed) model(name string) *Model {
	for i := range p.Document.Models {
		if p.Document.Models[i].Name == name {
			return &p.Document.Models[i]
		}
	}
	return nil
}

// siteProblem returns a problem in the site's overlay, or in the base document
// if the site has no overlay.
func (p *Parsed) siteProblem(site, format string, args ...any) Problem {
	if src, ok := p.overlaySources[site]; ok {
		return src.At("pools", format, args...)
	}
	return p.baseSource.At("pools", format, args...)
}
