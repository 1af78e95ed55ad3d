package runs

// Placement is a rule by which entries offer waiting tasks and agents start them.
type Placement uint8

// Values of Placement.
const (
	// PlaceByUrgency takes waiting tasks by tier, priority and latest start. A task that fits nowhere is skipped.
	PlaceByUrgency Placement = iota
	// PlaceAhead also reserves capacity that becomes free soon for a task that fits nowhere now.
	PlaceAhead
)

// DefaultPlacement is the rule of all processes. docs/design/lookahead.md has the figures of each.
const DefaultPlacement = PlaceAhead
