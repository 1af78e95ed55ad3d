package document

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
	"github.com/rotisserie/eris"
)

// ErrHomeRegion means that a document changes the home region of its service. The error is a *HomeRegionError.
var ErrHomeRegion = eris.New("home region of a service cannot be changed")

// HomeRegionError reports an attempt to change the home region of a service. The first revision of a service fixes it:
// during a change, two entries with different revisions would both be the home of the same key, and both could run its job.
// The error matches ErrHomeRegion and ErrInvalid.
type HomeRegionError struct {
	Service string
	// Current is the effective home region and Requested the one in the document; empty means every region.
	Current, Requested string
}

// Problem returns the error as a problem of the document.
func (e *HomeRegionError) Problem() Problem {
	allowed := "what the first revision set: " + e.Current
	if e.Current == "" {
		allowed = "no home_region, as in the first revision"
	}
	return Problem{Field: "home_region", Message: fmt.Sprintf("%s cannot be changed to %s", describeRegion(e.Current), describeRegion(e.Requested)), Allowed: allowed}
}

// Error implements error.
func (e *HomeRegionError) Error() string { return e.Service + ": " + e.Problem().String() }

// Is makes errors.Is(err, ErrHomeRegion) and errors.Is(err, ErrInvalid) true.
func (e *HomeRegionError) Is(target error) bool {
	return target == ErrHomeRegion || target == ErrInvalid
}

func describeRegion(region string) string {
	if region == "" {
		return "every region"
	}
	return quoteTruncated(region)
}

// checkHomeRegion returns a *HomeRegionError if the home region of a new document differs from the one in the record.
func (r Record) checkHomeRegion(s *Service) error {
	if region, known := r.latestHomeRegion(); known && region != s.HomeRegion {
		return &HomeRegionError{Service: s.Name, Current: region, Requested: s.HomeRegion}
	}
	return nil
}

// latestHomeRegion returns the home region of the newest revision that has a readable body. After a deletion that is a
// revision in the history. It returns false if there is none.
func (r Record) latestHomeRegion() (region string, known bool) {
	if region, known = parseHomeRegion(r.Body); known {
		return region, true
	}
	for _, p := range r.History {
		if region, known = parseHomeRegion(p.Body); known {
			return region, true
		}
	}
	return "", false
}

// oldestHomeRegion returns the home region of the oldest revision in the record that has a readable body. A process that
// starts after a forbidden change thereby uses the same region as those that saw the previous revision. The search stops at
// a gap in the revision numbers: the revisions before it were written to a store with older data and were never effective.
func (r Record) oldestHomeRegion() (region string, known bool) {
	region, known = parseHomeRegion(r.Body)
	revision := r.Revision
	for _, p := range r.History {
		if p.Revision+1 != revision {
			break
		}
		revision = p.Revision
		if previous, bodyKnown := parseHomeRegion(p.Body); bodyKnown {
			region, known = previous, true
		}
	}
	return region, known
}

// parseHomeRegion returns the home region in a body. Other fields need not be valid, so that it also works for a body
// written by a newer version of the program. It returns false for an empty or unreadable body.
func parseHomeRegion(body string) (region string, known bool) {
	if body == "" {
		return "", false
	}
	root, ok := new(decoder).parseTree([]byte(body)).(*ast.MappingNode)
	if !ok {
		return "", false
	}
	node := findNode(root, "home_region", -1)
	if node == ast.Node(root) {
		return "", true
	}
	value, ok := node.(*ast.StringNode)
	if !ok {
		return "", false
	}
	return value.Value, true
}
