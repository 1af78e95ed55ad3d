package wire

import "time"

// DocumentPush carries one revision of a service document. Body is empty for a deleted service.
type DocumentPush struct {
	Service  string    `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
	EditID   string    `cbor:"3,keyasint,omitempty"`
	Author   string    `cbor:"4,keyasint,omitempty"`
	At       time.Time `cbor:"5,keyasint"`
	Deleted  bool      `cbor:"6,keyasint,omitempty"`
	Body     []byte    `cbor:"7,keyasint,omitempty"`
}

// DocumentNotice announces a new revision to another entry, which pulls it if it does not have it. Entries read most
// revisions from the store themselves, so sending every document to every entry would waste bandwidth.
type DocumentNotice struct {
	Service  string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	EditID   string `cbor:"3,keyasint,omitempty"`
}

// DocumentPull requests every document that is newer than the listed revisions. Services restricts the answer to the named
// services; an empty list means all services.
type DocumentPull struct {
	Revisions map[string]uint64 `cbor:"1,keyasint,omitempty"`
	Services  []string          `cbor:"2,keyasint,omitempty"`
}
