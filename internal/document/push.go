package document

import (
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// ToPush returns the message that sends a document to another process.
func ToPush(d Document) *wire.DocumentPush {
	push := &wire.DocumentPush{
		Service: d.Service, Revision: d.Revision, EditID: d.EditID, Author: d.Author, At: d.EditedAt, Deleted: d.Deleted,
	}
	if !d.Deleted {
		push.Body = []byte(d.Body)
	}
	return push
}

// FromPush returns the document in a message. It returns ErrCorrupt for a document that an Editor cannot have written.
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
		Service: p.Service, Revision: p.Revision, EditID: p.EditID, Author: p.Author, EditedAt: p.At, Deleted: p.Deleted,
		Body: string(p.Body),
	}, nil
}

// ApplyPush applies the document in a message, as Apply does. It returns ErrCorrupt for a malformed message.
func (r *Registry) ApplyPush(p *wire.DocumentPush) (Change, bool, error) {
	d, err := FromPush(p)
	if err != nil {
		return Change{}, false, err
	}
	change, applied := r.Apply(d)
	return change, applied, nil
}

// MissingPushes returns the messages that answer a pull: the documents that are newer than the revisions of the sender. If
// include is not nil, only services for which it returns true are sent.
func (r *Registry) MissingPushes(pull *wire.DocumentPull, include func(service string) bool) []*wire.DocumentPush {
	var pushes []*wire.DocumentPush
	for _, d := range r.NewerThan(pull.Revisions, include) {
		pushes = append(pushes, ToPush(d))
	}
	return pushes
}
