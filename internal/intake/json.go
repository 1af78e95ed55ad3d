package intake

import "github.com/rotisserie/eris"

// ErrTooComplex means that a JSON text has more values, or is nested more deeply, than its reader accepts.
var ErrTooComplex = eris.New("JSON text is too complex")

// CountValues returns an upper bound of the number of values in a JSON text. It returns ErrTooComplex if there are more than
// maxValues or they are nested more deeply than maxDepth. It decodes nothing, so that a text that expands to very many values is
// refused before they are built. Any text is accepted that is not JSON; the decoder refuses it.
func CountValues(text []byte, maxValues, maxDepth int) (int, error) {
	values, depth, inString := 1, 0, false
	for i := 0; i < len(text); i++ {
		c := text[i]
		if inString {
			switch c {
			case '\\':
				i++
			case '"':
				inString = false
			}
			continue
		}
		switch c {
		case '"':
			inString = true
		case ',':
			values++
		case '[', '{':
			values++
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return values, eris.Wrapf(ErrTooComplex, "nested more than %d deep", maxDepth)
		}
	}
	if values > maxValues {
		return values, eris.Wrapf(ErrTooComplex, "more than %d values", maxValues)
	}
	return values, nil
}
