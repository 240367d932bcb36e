package admin

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// authorizeAnyTeam returns nil if op may take the action for the fleet or for any
// team in its scope. Callers then check each item.
func authorizeAnyTeam(op *access.Operator, action access.Action) error {
	err := access.Authorize(op, action, access.FleetWide)
	if err == nil {
		return nil
	}
	for _, team := range op.Teams {
		if err = access.Authorize(op, action, team); err == nil {
			return nil
		}
	}
	return err
}

// authorizeReadBundle returns nil if op may read complete files. The files contain
// the sections of all teams, so a viewer needs the whole fleet as scope. An editor
// of any team may read them, because a change requires them.
func authorizeReadBundle(op *access.Operator) error {
	err := access.Authorize(op, access.ActionReadConfig, access.FleetWide)
	if err == nil || authorizeAnyTeam(op, access.ActionEditConfig) == nil {
		return nil
	}
	return err
}

// authorizePaths returns a *forbiddenError unless op may change all paths that
// differ between the bundles.
func authorizePaths(op *access.Operator, oldBundle, newBundle config.Bundle) error {
	paths, err := forbiddenPaths(op, oldBundle, newBundle)
	if err != nil {
		return err
	}
	if len(paths) > 0 {
		return &forbiddenError{operator: op.Name, paths: paths}
	}
	return nil
}

// section is a part of a bundle that has one owner.
type section struct {
	// team is access.FleetWide if no team owns the section.
	team string
	text string
}

// sections maps paths to the sections of a bundle.
type sections map[string]section

func (p sections) add(path, team string, value any) {
	// Documents have only plain fields, so the encoder cannot fail.
	text, _ := json.Marshal(value)
	p[path] = section{team: team, text: string(text)}
}

// splitBundle splits a bundle into sections. It uses the decoded documents instead
// of their text, so that the comparison covers exactly what routers use. Comments
// and formatting make no difference. An empty bundle, as before the first version,
// has no sections.
func splitBundle(b config.Bundle) (sections, error) {
	out := make(sections)
	if len(b.Base) == 0 && len(b.Overlays) == 0 {
		return out, nil
	}
	parsed, err := b.Parse()
	if err != nil {
		return nil, bundleParseError(err)
	}
	out.addBase(parsed.Document)
	for site, overlay := range parsed.Overlays {
		out.addOverlay(config.OverlayFile(site), overlay, parsed.Document)
	}
	return out, nil
}

// bundleParseError returns the error for files that cannot be decoded and compared.
// Only an operator of the whole fleet, who needs no comparison, can replace them.
func bundleParseError(err error) error {
	var problems config.Problems
	if errors.As(err, &problems) {
		return &config.InvalidError{Problems: problems}
	}
	return err
}

func (p sections) addBase(doc *config.Document) {
	file := config.BaseFile + ": "
	p.add(file+"teams", access.FleetWide, doc.Teams)
	p.add(file+"sites", access.FleetWide, doc.Sites)
	p.add(file+"models", access.FleetWide, doc.Models)
	p.add(file+"pools", access.FleetWide, doc.Pools)
	for _, s := range doc.Services {
		p.add(file+"services["+s.Name+"]", s.Team, s)
	}
	for _, a := range doc.Accounts {
		p.add(file+"accounts["+a.Name+"]", a.Team, a)
	}
}

func (p sections) addOverlay(name string, o *config.Overlay, doc *config.Document) {
	p.add(name+": site", access.FleetWide, o.Site)
	p.add(name+": pools", access.FleetWide, o.Pools)
	for _, a := range o.Accounts {
		p.add(name+": accounts["+a.Name+"]", accountTeam(doc, a.Name), a)
	}
}

// accountTeam returns the team of an account, or access.FleetWide if the account
// does not exist.
func accountTeam(doc *config.Document, account string) string {
	for i := range doc.Accounts {
		if doc.Accounts[i].Name == account {
			return doc.Accounts[i].Team
		}
	}
	return access.FleetWide
}

// forbiddenPaths returns the paths that differ between two bundles and that op may
// not change. Moving a section from one team to another requires permission for
// both.
func forbiddenPaths(op *access.Operator, oldBundle, newBundle config.Bundle) ([]string, error) {
	oldSections, err := splitBundle(oldBundle)
	if err != nil {
		return nil, err
	}
	newSections, err := splitBundle(newBundle)
	if err != nil {
		return nil, err
	}
	merged := maps.Clone(oldSections)
	maps.Copy(merged, newSections)
	lines := config.Diff(oldBundle, newBundle)
	var paths []string
	for _, path := range slices.Sorted(maps.Keys(merged)) {
		if oldSections[path] == newSections[path] || mayEditSection(op, oldSections, path) && mayEditSection(op, newSections, path) {
			continue
		}
		paths = append(paths, changedFields(lines, path)...)
	}
	return paths, nil
}

func mayEditSection(op *access.Operator, p sections, path string) bool {
	owned, ok := p[path]
	return !ok || access.Authorize(op, access.ActionEditConfig, owned.team) == nil
}

// changedFields returns the changed fields of a section. Some changes, such as a
// different order, affect no single field; the path of the section represents them.
func changedFields(lines []config.Difference, path string) []string {
	var out []string
	for _, line := range lines {
		if strings.HasPrefix(line.Path, path) {
			out = append(out, line.Path)
		}
	}
	if len(out) == 0 {
		return []string{path}
	}
	return out
}
