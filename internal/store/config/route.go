package config

import (
	"net/url"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Wildcard is the pattern segment that matches any one segment.
const Wildcard = "*"

// RouteMatch is an allowed call of a plain service.
type RouteMatch struct {
	// Route is the rule that matched, with its defaults filled.
	Route Route
	// Path is the path to send upstream, encoded anew from its segments.
	Path string
	// Idempotent says that the call may be repeated.
	Idempotent bool
	// Priority is the class of a request that names none.
	Priority string
}

// Match finds the route for a method and an escaped path (url.URL's
// EscapedPath) within the service. Where several match, the one with the
// earliest literal segment wins. Errors: ErrBadPath, ErrNoRoute, ErrMethod.
func (s *Service) Match(method, escapedPath string) (RouteMatch, error) {
	segments, err := splitPath(escapedPath)
	if err != nil {
		return RouteMatch{}, err
	}
	var best *Route
	otherMethod := false
	for i := range s.Routes {
		r := &s.Routes[i]
		if !r.matches(segments) {
			continue
		}
		if r.Method != method {
			otherMethod = true
			continue
		}
		if best == nil || moreSpecific(r.Path, best.Path) {
			best = r
		}
	}
	switch {
	case best != nil:
		return newMatch(*best, segments), nil
	case otherMethod:
		return RouteMatch{}, ErrMethod.New("%s on %s", method, s.Name)
	}
	return RouteMatch{}, ErrNoRoute.New("%s %s on %s", method, escapedPath, s.Name)
}

func newMatch(r Route, segments []string) RouteMatch {
	r.fillDefaults()
	return RouteMatch{
		Route:      r,
		Path:       joinPath(segments),
		Idempotent: *r.Idempotent,
		Priority:   r.Priority,
	}
}

func (r *Route) matches(segments []string) bool {
	pattern := patternSegments(r.Path)
	if len(pattern) != len(segments) {
		return false
	}
	for i, want := range pattern {
		if want != Wildcard && want != segments[i] {
			return false
		}
	}
	return true
}

// moreSpecific compares two patterns that match the same path.
func moreSpecific(a, b string) bool {
	as, bs := patternSegments(a), patternSegments(b)
	for i := range as {
		if (as[i] == Wildcard) != (bs[i] == Wildcard) {
			return bs[i] == Wildcard
		}
	}
	return false
}

// patternSegments splits a route's path, which validation has checked.
func patternSegments(pattern string) []string {
	trimmed := strings.TrimPrefix(pattern, "/")
	if trimmed == "" {
		return nil
	}
	return strings.Split(trimmed, "/")
}

// splitPath returns the decoded segments of an escaped path.
//
// What goes wrong otherwise: the router matches one reading of the path, the
// upstream acts on another, and a caller reaches an endpoint outside the
// allow-list (/status/..%2forders). One would notice only in the upstream's
// log. So every path that has a second reading is refused, and what is sent
// on is encoded anew from the segments that were matched.
func splitPath(escaped string) ([]string, error) {
	if !strings.HasPrefix(escaped, "/") {
		return nil, ErrBadPath.New("does not start with a slash")
	}
	if escaped == "/" {
		return nil, nil
	}
	parts := strings.Split(escaped[1:], "/")
	for i, part := range parts {
		segment, err := decodeSegment(part)
		if err != nil {
			return nil, err
		}
		parts[i] = segment
	}
	return parts, nil
}

func decodeSegment(part string) (string, error) {
	segment, err := url.PathUnescape(part)
	if err != nil {
		return "", ErrBadPath.Wrap(err)
	}
	// Some servers drop what follows a semicolon before they resolve dots.
	bare, _, _ := strings.Cut(segment, ";")
	switch {
	case bare == "":
		return "", ErrBadPath.New("empty segment")
	case bare == "." || bare == "..":
		return "", ErrBadPath.New("relative segment")
	case strings.ContainsAny(segment, `/\?#`):
		return "", ErrBadPath.New("encoded separator")
	case !utf8.ValidString(segment) || strings.ContainsFunc(segment, unicode.IsControl):
		return "", ErrBadPath.New("control character or invalid UTF-8")
	case encodedTwice(segment):
		return "", ErrBadPath.New("encoded twice")
	}
	return segment, nil
}

// encodedTwice reports whether a decoded segment would change if it were
// decoded again.
func encodedTwice(segment string) bool {
	again, err := url.PathUnescape(segment)
	return err == nil && again != segment
}

func joinPath(segments []string) string {
	var b strings.Builder
	for _, s := range segments {
		b.WriteByte('/')
		b.WriteString(url.PathEscape(s))
	}
	if b.Len() == 0 {
		return "/"
	}
	return b.String()
}

// checkPattern returns why a route's path is not a valid pattern, or "".
func checkPattern(pattern string) string {
	segments, err := splitPath(pattern)
	if err != nil {
		return err.Error()
	}
	for _, s := range segments {
		if s != Wildcard && strings.Contains(s, Wildcard) {
			return "a wildcard must be a whole segment"
		}
	}
	if strings.Contains(pattern, "%") {
		return "write the path decoded"
	}
	return ""
}
