package api

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// TaskBody is the body of a task in a request. In JSON it is either a string, which holds the bytes in base64, or any
// other value, which is passed to the upstream as JSON text.
type TaskBody []byte

// MarshalJSON implements json.Marshaler.
func (b TaskBody) MarshalJSON() ([]byte, error) {
	if isJSON(b) && firstByte(b) != '"' {
		return b, nil
	}
	return json.Marshal([]byte(b))
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *TaskBody) UnmarshalJSON(text []byte) error {
	if firstByte(text) != '"' {
		*b = bytes.Clone(text)
		return nil
	}
	var encoded string
	if err := json.Unmarshal(text, &encoded); err != nil {
		return eris.Wrap(err, "body")
	}
	decoded, err := base64.StdEncoding.Strict().DecodeString(encoded)
	if err != nil {
		return eris.New("body: a string must be base64")
	}
	*b = decoded
	return nil
}

// AnswerBody is the body of an upstream's answer. In JSON it is the value itself, or {"base64": "..."} when the body is
// not JSON. A body that is itself an object with base64 as its only member is encoded too, so that decoding is unambiguous.
type AnswerBody []byte

// base64Body is the JSON form of a body that is not JSON.
type base64Body struct {
	Base64 *[]byte `json:"base64"`
}

// MarshalJSON implements json.Marshaler.
func (b AnswerBody) MarshalJSON() ([]byte, error) {
	if _, ambiguous := decodeBase64Body(b); isJSON(b) && !ambiguous {
		return b, nil
	}
	raw := []byte(b)
	return json.Marshal(base64Body{Base64: &raw})
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *AnswerBody) UnmarshalJSON(text []byte) error {
	if decoded, ok := decodeBase64Body(text); ok {
		*b = decoded
		return nil
	}
	*b = bytes.Clone(text)
	return nil
}

// decodeBase64Body returns the bytes of {"base64": "..."} and whether text has this form.
func decodeBase64Body(text []byte) ([]byte, bool) {
	if firstByte(text) != '{' || !bytes.Contains(text, []byte("64")) {
		return nil, false
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var form base64Body
	if err := decoder.Decode(&form); err != nil || form.Base64 == nil {
		return nil, false
	}
	return *form.Base64, true
}

func isJSON(b []byte) bool { return json.Valid(b) && utf8.Valid(b) }

func firstByte(b []byte) byte {
	trimmed := bytes.TrimLeft(b, " \t\r\n")
	if len(trimmed) == 0 {
		return 0
	}
	return trimmed[0]
}
