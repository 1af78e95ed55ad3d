package document

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
)

// Registry holds the newest revision of every service that a process has received; a deleted service stays as a tombstone.
// It never returns to an older revision, regardless of the order of pushes and store reads. It starts no goroutines and is
// not safe for concurrent use: the control goroutine of the process owns it.
type Registry struct {
	services map[string]serviceState
	// digest is the XOR of the hashes of all revisions, which makes it independent of their order.
	digest uint64
}

// serviceState is the newest revision of one service and what the process uses of it.
type serviceState struct {
	document Document
	// effective is the newest revision that this version of the program can parse; nil for a deleted service or if there is
	// no such revision.
	effective *Service
	// homeRegion is the home region of the service. It never changes, not even after a deletion. It is nil until the first
	// revision with a readable body.
	homeRegion *string
}

// Change is the result of applying a newer revision.
type Change struct {
	Document Document
	// Service is the document that is now effective; nil when the service is deleted or no valid revision is known.
	Service *Service
	// Err is set when the body is invalid for this version of the program, for example because a newer version wrote it.
	// The previous revision then stays effective. It is a *HomeRegionError when the body changes the home region; the new
	// revision is then effective with the previous home region. In both cases the registry keeps the new document, which is
	// also passed on to peers.
	Err error
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{services: map[string]serviceState{}} }

// Apply replaces the held revision of a service if d is newer, and reports whether it did.
func (r *Registry) Apply(d Document) (Change, bool) {
	return r.apply(d, func() (string, bool) { return parseHomeRegion(d.Body) })
}

// apply implements Apply. It calls initialRegion for the home region of a service for which none is known yet.
func (r *Registry) apply(d Document, initialRegion func() (string, bool)) (Change, bool) {
	previous, known := r.services[d.Service]
	if known && !d.newerThan(previous.document) {
		return Change{}, false
	}
	region := previous.homeRegion
	if region == nil {
		if initial, regionKnown := initialRegion(); regionKnown {
			region = &initial
		}
	}
	change := Change{Document: d}
	if !d.Deleted {
		change.Service, change.Err = parseDocument(d)
		if change.Err != nil {
			change.Service = previous.effective
		} else if requested := change.Service.HomeRegion; region != nil && requested != *region {
			change.Service.HomeRegion = *region
			change.Err = &HomeRegionError{Service: d.Service, Current: *region, Requested: requested}
		}
	}
	if known {
		r.digest ^= hashRevision(previous.document)
	}
	r.digest ^= hashRevision(d)
	r.services[d.Service] = serviceState{document: d, effective: change.Service, homeRegion: region}
	return change, true
}

// parseDocument parses the body of a document and checks that it names the service of the document.
func parseDocument(d Document) (*Service, error) {
	s, err := Parse([]byte(d.Body))
	if err != nil {
		return nil, err
	}
	if s.Name != d.Service {
		return nil, &InvalidError{Problems: []Problem{{Field: "service", Message: quoteTruncated(s.Name) + " is not the name of the document", Allowed: d.Service}}}
	}
	return s, nil
}

// Get returns the newest revision of a service, which may be a deletion.
func (r *Registry) Get(service string) (Document, bool) {
	state, ok := r.services[service]
	return state.document, ok
}

// Effective returns the document that currently applies to a service. It returns false for an unknown or deleted service,
// and for one without a valid revision.
func (r *Registry) Effective(service string) (*Service, bool) {
	state := r.services[service]
	return state.effective, state.effective != nil
}

// Services returns the names of all known services, including deleted ones, sorted.
func (r *Registry) Services() []string { return slices.Sorted(maps.Keys(r.services)) }

// Revisions returns the revision of each service, for a handshake or a pull.
func (r *Registry) Revisions() map[string]uint64 {
	revisions := make(map[string]uint64, len(r.services))
	for service, state := range r.services {
		revisions[service] = state.document.Revision
	}
	return revisions
}

// Digest returns a hash over all held revisions; 0 for an empty registry. Two registries with the same documents have the
// same digest.
func (r *Registry) Digest() uint64 { return r.digest }

// DigestOf returns the digest of a registry that holds only the services for which include returns true.
func (r *Registry) DigestOf(include func(service string) bool) uint64 {
	var digest uint64
	for service, state := range r.services {
		if include(service) {
			digest ^= hashRevision(state.document)
		}
	}
	return digest
}

// NewerThan returns the documents that are newer than the revisions of a peer, sorted by service. If include is not nil,
// only services for which it returns true are considered. Revisions that differ only in their edit id are not found; the
// processes converge on one of them through the store.
func (r *Registry) NewerThan(peerRevisions map[string]uint64, include func(service string) bool) []Document {
	var missing []Document
	for _, service := range r.Services() {
		d := r.services[service].document
		if d.Revision > peerRevisions[service] && (include == nil || include(service)) {
			missing = append(missing, d)
		}
	}
	return missing
}

// Outdated returns the services for which the index contains a newer revision than the held one, sorted.
func (r *Registry) Outdated(index Index) []string {
	var services []string
	for service, p := range index {
		if nameRule.pattern.MatchString(service) && p.newerThan(r.services[service].document.Position()) {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// NewerThanIndex returns the held documents that are newer than their positions in the index, sorted by service.
func (r *Registry) NewerThanIndex(index Index) []Document {
	var ahead []Document
	for _, service := range r.Services() {
		if d := r.services[service].document; d.Position().newerThan(index[service]) {
			ahead = append(ahead, d)
		}
	}
	return ahead
}

// hashRevision returns a hash of the service, revision and edit id of a document.
func hashRevision(d Document) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.Service)) // the Write of a hash.Hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, d.Revision))
	_, _ = h.Write([]byte(d.EditID))
	return h.Sum64()
}
