package placement

import (
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Validate checks a list that was read from the store or received from another process. It returns ErrInvalid, wrapped
// with the violated rule.
func Validate(list *wire.EntryList) error {
	if list == nil || list.Version == 0 {
		return eris.Wrap(ErrInvalid, "the list is missing or its version is 0")
	}
	ids := make(map[string]bool, len(list.Members))
	incarnations := make(map[uint64]bool, len(list.Members)+len(list.Departed))
	for _, m := range list.Members {
		if err := validateMember(m); err != nil {
			return err
		}
		if ids[m.ID] {
			return eris.Wrapf(ErrInvalid, "entry %s is listed twice", m.ID)
		}
		if incarnations[m.Incarnation] {
			return eris.Wrapf(ErrInvalid, "the incarnation of entry %s is listed twice", m.ID)
		}
		ids[m.ID] = true
		incarnations[m.Incarnation] = true
	}
	for _, d := range list.Departed {
		if d.ID == "" || d.Incarnation == 0 || d.AtVersion > list.Version {
			return eris.Wrapf(ErrInvalid, "departed entry %q has no id, no incarnation or a version above that of the list", d.ID)
		}
		if incarnations[d.Incarnation] {
			return eris.Wrapf(ErrInvalid, "the incarnation of departed entry %s is listed twice", d.ID)
		}
		incarnations[d.Incarnation] = true
	}
	return nil
}

func validateMember(m wire.Member) error {
	switch {
	case m.ID == "":
		return eris.Wrap(ErrInvalid, "a member has no id")
	case m.Incarnation == 0:
		return eris.Wrapf(ErrInvalid, "entry %s has no incarnation", m.ID)
	case m.Address == "":
		return eris.Wrapf(ErrInvalid, "entry %s has no address", m.ID)
	case m.State != wire.MemberActive && m.State != wire.MemberLeaving:
		return eris.Wrapf(ErrInvalid, "entry %s has the unknown state %d", m.ID, m.State)
	}
	return nil
}
