package document

import (
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// ToPush returns the message that passes a document to another process.
func ToPush(d Document) *wire.DocumentPush {
	push := &wire.DocumentPush{
		Service: d.Service, Revision: d.Revision, EditID: d.EditID, Author: d.Author, At: d.At, Deleted: d.Deleted,
	}
	if !d.Deleted {
		push.Body = []byte(d.Body)
	}
	return push
}

// FromPush returns the document of a message, or ErrCorrupt for one that no Editor can have written.
func FromPush(p *wire.DocumentPush) (Document, error) {
	switch {
	case !nameRule.pattern.MatchString(p.Service):
		return Document{}, eris.Wrap(ErrCorrupt, "name of the service is not allowed")
	case p.Revision == 0 || p.EditID == "":
		return Document{}, eris.Wrap(ErrCorrupt, "revision or edit id is missing")
	case len(p.Body) > wire.MaxDocument:
		return Document{}, eris.Wrapf(ErrCorrupt, "body has %d bytes", len(p.Body))
	case p.Deleted != (len(p.Body) == 0):
		return Document{}, eris.Wrap(ErrCorrupt, "only a deleted document has no body")
	}
	return Document{
		Service: p.Service, Revision: p.Revision, EditID: p.EditID, Author: p.Author, At: p.At, Deleted: p.Deleted,
		Body: string(p.Body),
	}, nil
}

// ApplyPush applies the document of a message. It returns ErrCorrupt for a malformed one.
func (r *Registry) ApplyPush(p *wire.DocumentPush) (Change, bool, error) {
	d, err := FromPush(p)
	if err != nil {
		return Change{}, false, err
	}
	change, applied := r.Apply(d)
	return change, applied, nil
}

// MissingPushes returns the messages that answer a pull.
func (r *Registry) MissingPushes(pull *wire.DocumentPull, wanted func(service string) bool) []*wire.DocumentPush {
	var pushes []*wire.DocumentPush
	for _, d := range r.Missing(pull.Revisions, wanted) {
		pushes = append(pushes, ToPush(d))
	}
	return pushes
}
