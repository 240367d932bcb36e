package config

import (
	"cmp"
	"slices"
)

// offeringKind tells apart what a site can offer.
type offeringKind string

const (
	kindModel   offeringKind = "model"
	kindAdapter offeringKind = "adapter"
	kindService offeringKind = "service"
)

// inForcePrefix marks problems of the version in force, not of the change.
const inForcePrefix = "in force: "

// offering is something that callers can ask a site for.
type offering struct {
	kind    offeringKind
	name    string
	adapter string
}

// String names the offering for operators.
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

// ValidateChange checks the step from one valid bundle to another: no site
// may lose its last pool, or stop serving something without saying so.
//
// What goes wrong otherwise: a pool moved to another site, or a model renamed
// in the pool alone, still makes a valid configuration; callers at the site
// would be told "unknown model" seconds after the change. To withdraw
// something on purpose, remove it from the document, set retire on the model,
// or set retire on the pool in the site's overlay.
func ValidateChange(old, new Bundle) []Problem {
	withdrawals, empty := compareBundles(old, new)
	return append(empty, withdrawals...)
}

// compareBundles returns the withdrawals that nobody confirmed and the sites
// that lost their last pool. Only the former can be waived.
func compareBundles(old, new Bundle) (withdrawals, empty Problems) {
	after, err := new.Parse()
	if err != nil {
		return nil, asProblems(err)
	}
	before, err := old.Parse()
	if err != nil {
		return unreadable(err), nil
	}
	for _, site := range before.Document.Sites {
		lost, bare := compareSite(before, after, site.Name)
		withdrawals = append(withdrawals, lost...)
		empty = append(empty, bare...)
	}
	return withdrawals, empty
}

// unreadable reports an old bundle that this program can no longer read. It
// counts as a withdrawal, which can be waived: otherwise no change could ever
// follow a version that a later program refuses.
func unreadable(err error) Problems {
	problems := asProblems(err)
	for i := range problems {
		problems[i].File = inForcePrefix + problems[i].File
	}
	return problems
}

// compareSite compares one site. A site that is no longer in the document has
// been closed on purpose.
func compareSite(before, after *Parsed, site string) (withdrawals, empty Problems) {
	was, err := NewEffective(before.Document, before.Overlays, site)
	if err != nil {
		return nil, nil
	}
	is, err := NewEffective(after.Document, after.Overlays, site)
	if err != nil {
		return nil, nil
	}
	if len(was.Pools) > 0 && len(is.Pools) == 0 {
		empty = append(empty, after.atSite(site, "site %s would have no pool left", site))
	}
	remaining := is.offerings()
	for _, o := range was.offerings() {
		if slices.Contains(remaining, o) || after.withdrawn(was, o) {
			continue
		}
		withdrawals = append(withdrawals, after.atSite(site,
			"site %s would stop serving %s; confirm with retire", site, o))
	}
	return withdrawals, empty
}

// withdrawn reports whether the new bundle says that the offering may go.
func (p *Parsed) withdrawn(was *Effective, o offering) bool {
	if o.kind == kindService {
		return p.serviceWithdrawn(was, o.name)
	}
	model := p.model(o.name)
	if model == nil || model.Retire {
		return true
	}
	if o.kind == kindAdapter && !slices.Contains(model.Adapters, o.adapter) {
		return true
	}
	return p.poolsRetired(was, was.PoolsFor(o.name, o.adapter))
}

func (p *Parsed) serviceWithdrawn(was *Effective, name string) bool {
	listed := slices.ContainsFunc(p.Document.Services, func(s Service) bool { return s.Name == name })
	if !listed {
		return true
	}
	service, _ := was.Service(name)
	pool, _ := was.Pool(service.Pool)
	return p.poolsRetired(was, []*Pool{pool})
}

// poolsRetired reports whether the site's overlay retires every pool that
// served the offering.
func (p *Parsed) poolsRetired(was *Effective, pools []*Pool) bool {
	overlay := p.Overlays[was.Site.Name]
	for _, pool := range pools {
		change := overlay.pool(pool.Name)
		if change == nil || !change.Retire {
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

// atSite places a problem in the site's overlay, or in the base document for
// a site without one.
func (p *Parsed) atSite(site, format string, args ...any) Problem {
	if src, ok := p.sites[site]; ok {
		return src.At("pools", format, args...)
	}
	return p.base.At("pools", format, args...)
}
