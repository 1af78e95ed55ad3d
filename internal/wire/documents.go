package wire

import "time"

// DocumentPush passes one revision of a service document. Body is empty for a deleted service.
type DocumentPush struct {
	Service  string    `cbor:"1,keyasint"`
	Revision uint64    `cbor:"2,keyasint"`
	EditID   string    `cbor:"3,keyasint,omitempty"`
	Author   string    `cbor:"4,keyasint,omitempty"`
	At       time.Time `cbor:"5,keyasint"`
	Deleted  bool      `cbor:"6,keyasint,omitempty"`
	Body     []byte    `cbor:"7,keyasint,omitempty"`
}

// DocumentNotice tells another entry about a new revision, which it pulls if it does not have it. All entries see most
// revisions in the store themselves, so passing each document to each of them would be waste.
type DocumentNotice struct {
	Service  string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	EditID   string `cbor:"3,keyasint,omitempty"`
}

// DocumentPull asks for every document newer than the listed revisions. Services limits the answer; without it all
// services count.
type DocumentPull struct {
	Revisions map[string]uint64 `cbor:"1,keyasint,omitempty"`
	Services  []string          `cbor:"2,keyasint,omitempty"`
}
