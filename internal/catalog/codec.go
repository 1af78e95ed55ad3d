package catalog

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ErrMalformed means that a catalog cannot be encoded, or that bytes are not an encoded catalog.
var ErrMalformed = eris.New("malformed catalog")

// Encode returns the catalog as CBOR, or ErrMalformed.
func Encode(c *Catalog) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	return body, nil
}

// Decode returns the catalog that Encode has encoded, or ErrMalformed.
func Decode(body []byte) (*Catalog, error) {
	c := new(Catalog)
	if err := cbor.Unmarshal(body, c); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	return c, nil
}
