package document

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
)

// checkTogether checks what concerns several fields and fills in defaults that come from other fields.
func (d *decoder) checkTogether(s *Service, root ast.Node) {
	seen := map[string]bool{}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if k.Name != "" && seen[k.Name] {
			field := fmt.Sprintf("kinds[%d].name", i)
			d.report(find(root, "kinds", i), field, shorten(k.Name)+" is the name of an earlier kind", "a different name for each kind")
		}
		seen[k.Name] = true
		if k.Deadline == 0 {
			k.Deadline = s.Deadline
		}
	}
	if s.Slots > 0 && s.ShortSlots != nil && *s.ShortSlots >= s.Slots {
		d.report(find(root, "short_slots", -1), "short_slots", fmt.Sprintf("%d of %d slots leave none for long tasks", *s.ShortSlots, s.Slots), "fewer than slots")
	}
}

// find returns the value of a field of the root, or the item with the given index of a list.
func find(root ast.Node, name string, index int) ast.Node {
	m, ok := root.(*ast.MappingNode)
	if !ok {
		return root
	}
	for _, entry := range m.Values {
		key, ok := entry.Key.(*ast.StringNode)
		if !ok || key.Value != name {
			continue
		}
		if list, ok := entry.Value.(*ast.SequenceNode); ok && index >= 0 && index < len(list.Values) {
			return list.Values[index]
		}
		return entry.Value
	}
	return root
}
