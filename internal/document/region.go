package document

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
	"github.com/rotisserie/eris"
)

// ErrHomeRegion means that a document changes the home region of its service. The error is a *HomeRegionError.
var ErrHomeRegion = eris.New("home region of a service cannot be changed")

// HomeRegionError tells which home region is in force. The first revision of a service sets it for good: during a change
// two entries with different revisions would both be the home of a key and could both run its job. It matches
// ErrHomeRegion and ErrInvalid.
type HomeRegionError struct {
	Service string
	// InForce and Wanted are home regions; empty means every region.
	InForce, Wanted string
}

// Problem describes the error as a problem of the document.
func (e *HomeRegionError) Problem() Problem {
	allowed := "what the first revision set: " + e.InForce
	if e.InForce == "" {
		allowed = "no home_region, as in the first revision"
	}
	return Problem{Field: "home_region", Message: fmt.Sprintf("%s cannot be changed to %s", nameRegion(e.InForce), nameRegion(e.Wanted)), Allowed: allowed}
}

// Error implements error.
func (e *HomeRegionError) Error() string { return e.Service + ": " + e.Problem().String() }

// Is makes errors.Is(err, ErrHomeRegion) and errors.Is(err, ErrInvalid) true.
func (e *HomeRegionError) Is(target error) bool {
	return target == ErrHomeRegion || target == ErrInvalid
}

func nameRegion(region string) string {
	if region == "" {
		return "every region"
	}
	return shorten(region)
}

// checkRegion compares the home region of a new document with the one that the record sets.
func (r Record) checkRegion(s *Service) error {
	if region, set := r.homeRegion(); set && region != s.HomeRegion {
		return &HomeRegionError{Service: s.Name, InForce: region, Wanted: s.HomeRegion}
	}
	return nil
}

// homeRegion returns the home region of the newest revision that has a body, which may lie before a deletion. It returns
// false if there is none.
func (r Record) homeRegion() (region string, set bool) {
	if region, set = regionOf(r.Body); set {
		return region, true
	}
	for _, p := range r.History {
		if region, set = regionOf(p.Body); set {
			return region, true
		}
	}
	return "", false
}

// firstRegion returns the home region of the oldest revision that the record still has, so that a process that starts
// after a forbidden change keeps the same region in force as those that saw the former revision. It stops at a gap of
// the revisions: what lies behind was written to a store with older data and was never in force.
func (r Record) firstRegion() (region string, set bool) {
	region, set = regionOf(r.Body)
	revision := r.Revision
	for _, p := range r.History {
		if p.Revision+1 != revision {
			break
		}
		revision = p.Revision
		if former, ok := regionOf(p.Body); ok {
			region, set = former, true
		}
	}
	return region, set
}

// regionOf reads the home region of a body, also of one that this version of the program does not understand otherwise.
// It returns false for an empty or unreadable body.
func regionOf(body string) (region string, set bool) {
	if body == "" {
		return "", false
	}
	root, ok := new(decoder).parseTree([]byte(body)).(*ast.MappingNode)
	if !ok {
		return "", false
	}
	node := find(root, "home_region", -1)
	if node == ast.Node(root) {
		return "", true
	}
	value, ok := node.(*ast.StringNode)
	if !ok {
		return "", false
	}
	return value.Value, true
}
