package document

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	// maxNesting and maxTokens bound the time of the YAML parser, which is quadratic in the nesting depth and in the number
	// of fields of a mapping. A document with every list at its largest allowed size has fewer than 16,000 tokens.
	maxNesting = 32
	maxTokens  = 16_000
)

// Parse checks a document and returns it with all defaults filled in. The error is an *InvalidError that lists the problems,
// up to maxProblems.
func Parse(body []byte) (*Service, error) {
	d := &decoder{}
	root := d.parseTree(body)
	if root == nil {
		return nil, d.err()
	}
	service, _ := decodeObject(d, "", root, serviceFields)
	d.checkCrossFieldRules(&service, root)
	if err := d.err(); err != nil {
		return nil, err
	}
	return &service, nil
}

// parseTree returns the root node of the document. If there is none, it reports the reason and returns nil.
func (d *decoder) parseTree(body []byte) ast.Node {
	if !d.checkText(body) {
		return nil
	}
	file, err := d.parseYAML(string(body))
	switch {
	case err != nil:
		d.reportSyntax(err)
		return nil
	case file == nil:
		return nil
	case len(file.Docs) > 1:
		d.addProblem(file.Docs[1].Body, "", "there is more than one YAML document", "exactly one document without directives")
		return nil
	case len(file.Docs) == 0 || isEmpty(file.Docs[0].Body) || file.Docs[0].Body.Type() == ast.CommentType:
		d.addProblem(nil, "", "the document is empty", "mapping with "+joinFieldNames(serviceFields))
		return nil
	}
	return file.Docs[0].Body
}

// checkText checks the size and the characters of the document before it is passed to the YAML parser.
func (d *decoder) checkText(body []byte) bool {
	if len(body) > wire.MaxDocument {
		d.addProblem(nil, "", fmt.Sprintf("the document has %d bytes", len(body)), fmt.Sprintf("up to %d bytes", wire.MaxDocument))
		return false
	}
	if !utf8.Valid(body) {
		d.addProblem(nil, "", "the document is not UTF-8", "UTF-8 text")
		return false
	}
	line := 1
	for _, r := range string(body) {
		if r == '\n' {
			line++
		}
		if isControl(r) {
			d.problems = append(d.problems, Problem{Line: line, Column: 1, Message: fmt.Sprintf("there is the control character %U", r), Allowed: "text, blanks and line breaks"})
			return false
		}
	}
	return true
}

// isControl reports whether r is a control character other than a line break or a tab.
func isControl(r rune) bool { return r < ' ' && r != '\n' && r != '\r' && r != '\t' || r == 0x7f }

// parseYAML parses the text. It converts a panic of the parser into an error, so that no document in the store can crash an
// entry. It returns nil without an error if it has reported a problem itself.
func (d *decoder) parseYAML(text string) (file *ast.File, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			file, err = nil, fmt.Errorf("the YAML parser failed: %v", recovered)
		}
	}()
	tokens := lexer.Tokenize(text)
	if !d.checkTokens(tokens) {
		return nil, nil
	}
	return parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
}

// checkTokens reports a document that has too many tokens or is nested too deeply to be parsed in bounded time.
func (d *decoder) checkTokens(tokens token.Tokens) bool {
	if len(tokens) > maxTokens {
		d.addProblem(nil, "", fmt.Sprintf("the document has %d parts", len(tokens)), fmt.Sprintf("up to %d parts", maxTokens))
		return false
	}
	flowDepth, blockDepth, line := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, blockDepth = t.Position.Line, 0
		}
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flowDepth++
		case token.SequenceEndType, token.MappingEndType:
			flowDepth--
		case token.SequenceEntryType, token.MappingKeyType, token.MappingValueType, token.AnchorType, token.TagType:
			blockDepth++
		}
		if flowDepth > maxNesting || blockDepth > maxNesting && flowDepth <= 0 {
			d.problems = append(d.problems, Problem{Line: line, Column: t.Position.Column, Message: "values are nested too deeply", Allowed: fmt.Sprintf("up to %d levels", maxNesting)})
			return false
		}
	}
	return true
}

// reportSyntax reports an error of the YAML parser with its position if it has one.
func (d *decoder) reportSyntax(err error) {
	p := Problem{Message: "is not YAML: " + err.Error()}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		p.Message = "is not YAML: " + strings.TrimSpace(syntax.GetMessage())
		if t := syntax.GetToken(); t != nil && t.Position != nil {
			p.Line, p.Column = t.Position.Line, t.Position.Column
		}
	}
	d.problems = append(d.problems, p)
}

// firstToken returns the token at which a node begins, or nil if it has none.
func firstToken(node ast.Node) *token.Token {
	switch n := node.(type) {
	case nil:
		return nil
	case *ast.MappingNode:
		if len(n.Values) > 0 && !n.IsFlowStyle {
			return n.Values[0].Key.GetToken()
		}
	case *ast.MappingValueNode:
		return n.Key.GetToken()
	}
	t := node.GetToken()
	if t == nil || t.Position == nil {
		return nil
	}
	return t
}
