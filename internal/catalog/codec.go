package catalog

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxDecodedBytes bounds the memory that a body can take when it is decompressed. The store accepts values up to 1 MB, and the
// encoded form has about the same size before compression.
const maxDecodedBytes = 8 << 20

// ErrMalformed means that a catalog cannot be encoded, or that bytes are not an encoded catalog.
var ErrMalformed = eris.New("malformed catalog")

// Encode returns the catalog as compressed CBOR, or ErrMalformed. Equal catalogs have equal encodings in all processes of the
// same program version.
func Encode(c *Catalog) ([]byte, error) {
	var body bytes.Buffer
	w, err := flate.NewWriter(&body, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if err := cbor.NewEncoder(w).Encode(c); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	return body.Bytes(), nil
}

// Decode returns the catalog that Encode has encoded, with its index, or ErrMalformed.
func Decode(body []byte) (*Catalog, error) {
	r := flate.NewReader(bytes.NewReader(body))
	encoded, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes+1))
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if len(encoded) > maxDecodedBytes {
		return nil, eris.Wrapf(ErrMalformed, "more than %d bytes", maxDecodedBytes)
	}
	c := new(Catalog)
	if err := cbor.Unmarshal(encoded, c); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	c.BuildIndex()
	return c, nil
}
