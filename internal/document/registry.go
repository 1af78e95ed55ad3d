package document

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
)

// Registry keeps the newest revision of every service that a process has seen, with deleted ones as tombstones. It has
// no goroutines and is not safe for concurrent use: the control goroutine owns it. It never goes back to an older
// revision, whatever the order of pushes and store reads.
type Registry struct {
	held   map[string]held
	digest uint64
}

type held struct {
	document Document
	// inForce is the newest revision that this version of the program understands; nil for a deleted service.
	inForce *Service
	// region is the home region of the service, which stays the same for good, also after a deletion. It is nil as long
	// as no body was seen.
	region *string
}

// Change is one newly applied revision.
type Change struct {
	Document Document
	// Service is what is in force now; nil when the service is deleted.
	Service *Service
	// Problem is set when the body is invalid here, for example because a newer version of the program wrote it. The
	// former revision then stays in force. It is a *HomeRegionError when the body changes the home region. Then the new
	// revision is in force with the former home region. The document is still kept and passed on.
	Problem error
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{held: map[string]held{}} }

// Apply takes a revision if it is newer than the held one and reports whether it was.
func (r *Registry) Apply(d Document) (Change, bool) {
	return r.apply(d, func() (string, bool) { return regionOf(d.Body) })
}

// apply takes a revision. FirstRegion tells the home region of a service of which no body was seen before.
func (r *Registry) apply(d Document, firstRegion func() (string, bool)) (Change, bool) {
	before, known := r.held[d.Service]
	if known && !d.newerThan(before.document) {
		return Change{}, false
	}
	region := before.region
	if region == nil {
		if first, set := firstRegion(); set {
			region = &first
		}
	}
	change := Change{Document: d}
	if !d.Deleted {
		change.Service, change.Problem = parseFor(d)
		if change.Problem != nil {
			change.Service = before.inForce
		} else if wanted := change.Service.HomeRegion; region != nil && wanted != *region {
			change.Service.HomeRegion = *region
			change.Problem = &HomeRegionError{Service: d.Service, InForce: *region, Wanted: wanted}
		}
	}
	if known {
		r.digest ^= hash(before.document)
	}
	r.digest ^= hash(d)
	r.held[d.Service] = held{document: d, inForce: change.Service, region: region}
	return change, true
}

// parseFor parses the body of a document and checks that it belongs to its service.
func parseFor(d Document) (*Service, error) {
	s, err := Parse([]byte(d.Body))
	if err != nil {
		return nil, err
	}
	if s.Name != d.Service {
		return nil, &InvalidError{Problems: []Problem{{Field: "service", Message: shorten(s.Name) + " is not the name of the document", Allowed: d.Service}}}
	}
	return s, nil
}

// Get returns the newest revision of a service, which may be a deleted one.
func (r *Registry) Get(service string) (Document, bool) {
	h, ok := r.held[service]
	return h.document, ok
}

// InForce returns the document by which a service is run; false for an unknown or deleted service.
func (r *Registry) InForce(service string) (*Service, bool) {
	h := r.held[service]
	return h.inForce, h.inForce != nil
}

// Services returns the names of all known services, also of deleted ones, sorted.
func (r *Registry) Services() []string { return slices.Sorted(maps.Keys(r.held)) }

// Revisions returns the revision of each service, for a handshake or a pull.
func (r *Registry) Revisions() map[string]uint64 {
	revisions := make(map[string]uint64, len(r.held))
	for service, h := range r.held {
		revisions[service] = h.document.Revision
	}
	return revisions
}

// Digest returns a hash of all revisions; 0 for an empty registry. Two registries with the same documents have the same
// digest.
func (r *Registry) Digest() uint64 { return r.digest }

// DigestOf returns the digest of a registry that holds only the wanted services.
func (r *Registry) DigestOf(wanted func(service string) bool) uint64 {
	var digest uint64
	for service, h := range r.held {
		if wanted(service) {
			digest ^= hash(h.document)
		}
	}
	return digest
}

// Missing returns the documents that are newer than the revisions of a peer, sorted by service. Wanted selects the
// services that concern the peer; nil selects all. Revisions that differ only by their edit id are not found here; the
// store settles them.
func (r *Registry) Missing(peer map[string]uint64, wanted func(service string) bool) []Document {
	var missing []Document
	for _, service := range r.Services() {
		d := r.held[service].document
		if d.Revision > peer[service] && (wanted == nil || wanted(service)) {
			missing = append(missing, d)
		}
	}
	return missing
}

// Outdated returns the services that the index shows at a newer revision than the held one, sorted.
func (r *Registry) Outdated(index Index) []string {
	var services []string
	for service, p := range index {
		if nameRule.pattern.MatchString(service) && p.newerThan(r.held[service].document.Position()) {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Ahead returns the held documents that are newer than what the index shows, sorted by service.
func (r *Registry) Ahead(index Index) []Document {
	var ahead []Document
	for _, service := range r.Services() {
		if d := r.held[service].document; d.Position().newerThan(index[service]) {
			ahead = append(ahead, d)
		}
	}
	return ahead
}

func hash(d Document) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.Service)) // a hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, d.Revision))
	_, _ = h.Write([]byte(d.EditID))
	return h.Sum64()
}
