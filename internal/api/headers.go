package api

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Headers are HTTP header fields in order. In JSON they are an object: the value of a name is a string, or a list of strings
// when the name occurs more than once.
type Headers []wire.Header

// MarshalJSON implements json.Marshaler.
func (h Headers) MarshalJSON() ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte('{')
	written := make(map[string]bool, len(h))
	for _, field := range h {
		if written[field.Name] {
			continue
		}
		if len(written) > 0 {
			out.WriteByte(',')
		}
		written[field.Name] = true
		if err := appendField(&out, field.Name, h.values(field.Name)); err != nil {
			return nil, err
		}
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

func appendField(out *bytes.Buffer, name string, values []string) error {
	var value any = values
	if len(values) == 1 {
		value = values[0]
	}
	key, err := json.Marshal(name)
	if err != nil {
		return eris.Wrap(err, "header name")
	}
	text, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "header value")
	}
	out.Write(key)
	out.WriteByte(':')
	out.Write(text)
	return nil
}

func (h Headers) values(name string) []string {
	var values []string
	for _, field := range h {
		if field.Name == name {
			values = append(values, field.Value)
		}
	}
	return values
}

// UnmarshalJSON implements json.Unmarshaler.
func (h *Headers) UnmarshalJSON(text []byte) error {
	*h = nil
	return readObject(json.NewDecoder(bytes.NewReader(text)), func(decoder *json.Decoder, name string) error {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return eris.Wrap(err, "headers")
		}
		values, err := headerValues(raw)
		if err != nil {
			return err
		}
		for _, value := range values {
			*h = append(*h, wire.Header{Name: name, Value: value})
		}
		return nil
	})
}

func headerValues(raw json.RawMessage) ([]string, error) {
	var values []*string
	if firstByte(raw) != '[' {
		raw = append(append(json.RawMessage{'['}, raw...), ']')
	}
	if err := json.Unmarshal(raw, &values); err != nil {
		return nil, eris.New("headers: a value must be a string or a list of strings")
	}
	list := make([]string, len(values))
	for i, value := range values {
		if value == nil {
			return nil, eris.New("headers: a value must be a string or a list of strings")
		}
		list[i] = *value
	}
	return list, nil
}

// sizeBytes returns the size of the header block in bytes, names and values together.
func (h Headers) sizeBytes() int {
	total := 0
	for _, field := range h {
		total += len(field.Name) + len(field.Value)
	}
	return total
}

// checkFields returns a message about the first field that HTTP does not allow or that the agent sets itself. It returns an
// empty string when there is none.
func (h Headers) checkFields() string {
	for _, field := range h {
		if !httpguts.ValidHeaderFieldName(field.Name) {
			return "headers: a name is not an HTTP field name"
		}
		if !httpguts.ValidHeaderFieldValue(field.Value) {
			return "headers: the value of " + field.Name + " is not an HTTP field value"
		}
		if hopByHop[strings.ToLower(field.Name)] {
			return "headers: " + field.Name + " concerns one connection and is not passed on"
		}
	}
	return ""
}

// hopByHop are the fields that concern a single connection (RFC 9110, section 7.6.1) or its framing.
var hopByHop = map[string]bool{
	"connection": true, "content-length": true, "host": true, "keep-alive": true, "proxy-connection": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true,
}
