package config

import (
	"net/url"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Wildcard is the segment of a pattern that matches any one segment of a path.
const Wildcard = "*"

// RouteMatch is an allowed request to a plain service.
type RouteMatch struct {
	// Route is the route that matched, with the defaults applied.
	Route Route
	// Path is the path to send upstream, encoded again from the matched
	// segments.
	Path string
	// Idempotent reports whether the request may be repeated.
	Idempotent bool
	// Priority is the class of a request that doesn't specify one.
	Priority string
}

// Match returns the route of the service for a method and an escaped path, as
// returned by url.URL.EscapedPath. If several routes match, it compares their
// segments from the left and prefers a literal to a wildcard. Errors:
// ErrBadPath, ErrNoRoute, ErrMethodNotAllowed.
func (s *Service) Match(method, escapedPath string) (RouteMatch, error) {
	segments, err := splitPath(escapedPath)
	if err != nil {
		return RouteMatch{}, err
	}
	var best *Route
	methodMismatch := false
	for i := range s.Routes {
		r := &s.Routes[i]
		if !r.matches(segments) {
			continue
		}
		if r.Method != method {
			methodMismatch = true
			continue
		}
		if best == nil || moreSpecific(r.Path, best.Path) {
			best = r
		}
	}
	switch {
	case best != nil:
		return newMatch(*best, segments), nil
	case methodMismatch:
		return RouteMatch{}, ErrMethodNotAllowed.New("%s on %s", method, s.Name)
	}
	return RouteMatch{}, ErrNoRoute.New("%s %s on %s", method, escapedPath, s.Name)
}

func newMatch(r Route, segments []string) RouteMatch {
	r.applyDefaults()
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
	for i, patternSegment := range pattern {
		if patternSegment != Wildcard && patternSegment != segments[i] {
			return false
		}
	}
	return true
}

// moreSpecific reports whether a is more specific than b: at the first segment
// where only one of the two patterns has a wildcard, the wildcard is in b. Both
// must match the same path.
func moreSpecific(a, b string) bool {
	aSegments, bSegments := patternSegments(a), patternSegments(b)
	for i := range aSegments {
		if (aSegments[i] == Wildcard) != (bSegments[i] == Wildcard) {
			return bSegments[i] == Wildcard
		}
	}
	return false
}

// patternSegments splits the path of a route, which must be valid.
func patternSegments(pattern string) []string {
	trimmed := strings.TrimPrefix(pattern, "/")
	if trimmed == "" {
		return nil
	}
	return strings.Split(trimmed, "/")
}

// splitPath returns the decoded segments of an escaped path. It rejects every
// path that an upstream could interpret in another way, with ErrBadPath.
//
// Otherwise the router could match one interpretation while the upstream acts
// on another, and a caller could reach an endpoint outside the allow-list, for
// example by /status/..%2forders; only the log of the upstream would show it. For
// the same reason the path that is sent upstream is encoded again from the
// segments that were matched.
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

func decodeSegment(escaped string) (string, error) {
	segment, err := url.PathUnescape(escaped)
	if err != nil {
		return "", ErrBadPath.Wrap(err)
	}
	// Some servers remove what follows a semicolon before they resolve dot
	// segments.
	withoutParams, _, _ := strings.Cut(segment, ";")
	switch {
	case withoutParams == "":
		return "", ErrBadPath.New("empty segment")
	case withoutParams == "." || withoutParams == "..":
		return "", ErrBadPath.New("relative segment")
	case strings.ContainsAny(segment, `/\?#`):
		return "", ErrBadPath.New("encoded separator")
	case !utf8.ValidString(segment) || strings.ContainsFunc(segment, unicode.IsControl):
		return "", ErrBadPath.New("control character or invalid UTF-8")
	case doubleEncoded(segment):
		return "", ErrBadPath.New("encoded twice")
	}
	return segment, nil
}

// doubleEncoded reports whether decoding an already decoded segment again would
// change it.
func doubleEncoded(segment string) bool {
	decodedAgain, err := url.PathUnescape(segment)
	return err == nil && decodedAgain != segment
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

// invalidPatternReason returns the reason for which the path of a route is not
// a valid pattern, or "" if it is valid.
func invalidPatternReason(pattern string) string {
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
