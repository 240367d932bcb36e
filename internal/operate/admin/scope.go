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

// anywhere returns nil if op may take the action for the fleet or for any team
// in its scope. What is shown or changed is then decided item by item.
func anywhere(op *access.Operator, action access.Action) error {
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

// mayReadBundle decides about whole files. They hold the parts of all teams,
// so a viewer needs the whole fleet as scope; an editor of any team needs them
// to make a change at all.
func mayReadBundle(op *access.Operator) error {
	err := access.Authorize(op, access.ActionReadConfig, access.FleetWide)
	if err == nil || anywhere(op, access.ActionEditConfig) == nil {
		return nil
	}
	return err
}

// mayChange returns a *forbiddenError unless op may make the step from one
// bundle to the other.
func mayChange(op *access.Operator, before, after config.Bundle) error {
	paths, err := forbidden(op, before, after)
	if err != nil {
		return err
	}
	if len(paths) > 0 {
		return &forbiddenError{operator: op.Name, paths: paths}
	}
	return nil
}

// part is a piece of a bundle that is owned as a whole.
type part struct {
	// team is access.FleetWide for what no team owns.
	team string
	text string
}

// parts are the pieces of a bundle by path.
type parts map[string]part

func (p parts) add(path, team string, value any) {
	// Documents hold only plain fields, so the encoder cannot fail.
	text, _ := json.Marshal(value)
	p[path] = part{team: team, text: string(text)}
}

// partsOf splits a bundle by owner. It works on the decoded documents, not on
// their text: whatever two texts do to look alike, what routers would act on
// is what is compared. Comments and layout make no difference.
// The bundle before the first version is empty.
func partsOf(b config.Bundle) (parts, error) {
	out := make(parts)
	if len(b.Base) == 0 && len(b.Overlays) == 0 {
		return out, nil
	}
	parsed, err := b.Parse()
	if err != nil {
		return nil, unreadable(err)
	}
	out.addBase(parsed.Document)
	for site, overlay := range parsed.Overlays {
		out.addOverlay(config.OverlayFile(site), overlay, parsed.Document)
	}
	return out, nil
}

// unreadable refuses a comparison with files that can't be decoded. Only an
// operator of the whole fleet, who needs no comparison, can replace those.
func unreadable(err error) error {
	var problems config.Problems
	if errors.As(err, &problems) {
		return &config.InvalidError{Problems: problems}
	}
	return err
}

func (p parts) addBase(doc *config.Document) {
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

func (p parts) addOverlay(name string, o *config.Overlay, doc *config.Document) {
	p.add(name+": site", access.FleetWide, o.Site)
	p.add(name+": pools", access.FleetWide, o.Pools)
	for _, a := range o.Accounts {
		p.add(name+": accounts["+a.Name+"]", teamOf(doc, a.Name), a)
	}
}

// teamOf returns the team of an account, or access.FleetWide for none.
func teamOf(doc *config.Document, account string) string {
	for i := range doc.Accounts {
		if doc.Accounts[i].Name == account {
			return doc.Accounts[i].Team
		}
	}
	return access.FleetWide
}

// forbidden returns the paths that differ between two bundles and that op may
// not change. A part that goes from one team to another belongs to both.
func forbidden(op *access.Operator, before, after config.Bundle) ([]string, error) {
	was, err := partsOf(before)
	if err != nil {
		return nil, err
	}
	is, err := partsOf(after)
	if err != nil {
		return nil, err
	}
	all := maps.Clone(was)
	maps.Copy(all, is)
	lines := config.Diff(before, after)
	var paths []string
	for _, path := range slices.Sorted(maps.Keys(all)) {
		if was[path] == is[path] || mayEditPart(op, was, path) && mayEditPart(op, is, path) {
			continue
		}
		paths = append(paths, fields(lines, path)...)
	}
	return paths, nil
}

func mayEditPart(op *access.Operator, p parts, path string) bool {
	piece, ok := p[path]
	return !ok || access.Authorize(op, access.ActionEditConfig, piece.team) == nil
}

// fields returns the changed fields within a part. Some changes of meaning,
// such as another order, have none; the part's own path stands for them.
func fields(lines []config.Line, path string) []string {
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
