package document

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
)

// checkCrossFieldRules checks the rules that involve several fields and fills in the defaults that come from other fields.
func (d *decoder) checkCrossFieldRules(service *Service, root ast.Node) {
	seen := map[string]bool{}
	for i := range service.Kinds {
		kind := &service.Kinds[i]
		if kind.Name != "" && seen[kind.Name] {
			field := fmt.Sprintf("kinds[%d].name", i)
			d.addProblem(findNode(root, "kinds", i), field, quoteTruncated(kind.Name)+" is the name of an earlier kind", "a different name for each kind")
		}
		seen[kind.Name] = true
		if kind.Deadline == 0 {
			kind.Deadline = service.Deadline
		}
	}
	if service.Slots > 0 && service.ShortSlots != nil && *service.ShortSlots >= service.Slots {
		d.addProblem(findNode(root, "short_slots", -1), "short_slots", fmt.Sprintf("%d of %d slots leave none for long tasks", *service.ShortSlots, service.Slots), "fewer than slots")
	}
}

// findNode returns the value of the named field of root. If that is a list with an item at index, it returns the item.
// Without such a field it returns root itself.
func findNode(root ast.Node, name string, index int) ast.Node {
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
