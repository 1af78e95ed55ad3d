package wire_test

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against a field that is lost or changed by encoding and decoding.
func TestStartSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		sent := &wire.Start{
			Attempt:         rapid.Uint64().Draw(t, "attempt"),
			Home:            rapid.String().Draw(t, "home"),
			HomeIncarnation: rapid.Uint64().Draw(t, "incarnation"),
			ListVersion:     rapid.Uint64().Draw(t, "version"),
			Task:            rapid.Uint16().Draw(t, "task"),
			Service:         rapid.String().Draw(t, "service"),
			Body:            rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "body"),
			BudgetMillis:    rapid.Uint32().Draw(t, "budget"),
			Idempotent:      rapid.Bool().Draw(t, "idempotent"),
			Retry:           rapid.Bool().Draw(t, "retry"),
		}
		copy(sent.Key[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "key"))
		frame, err := wire.Encode(sent)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		received, err := wire.Decode(frame)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(received).To(gomega.Equal(sent))
	})
}

// Guards against times in the list of entries that change when they are encoded and decoded.
func TestEntryListKeepsTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	at := time.UnixMicro(1_700_000_000_123_456).UTC()
	frame, err := wire.Encode(&wire.EntryList{Version: 3, Departed: []wire.Departed{{ID: "a", At: at}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	m, err := wire.Decode(frame)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.(*wire.EntryList).Departed[0].At).To(gomega.BeTemporally("~", at, time.Microsecond))
}

// Guards against a decoder that panics or accepts an empty or unknown frame.
func FuzzDecode(f *testing.F) {
	for _, m := range []wire.Message{&wire.Hello{ID: "a"}, &wire.Start{Body: []byte("x")}, &wire.Leaving{}, &wire.EntryList{Version: 1}, &wire.CatalogNotice{Version: 1}, &wire.CatalogPull{Offset: 1}, &wire.CatalogChunk{Size: 1, Body: []byte("x")}} {
		frame, err := wire.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{})
	f.Add([]byte{200, 0xa0})
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := wire.Decode(frame)
		if err != nil {
			if !errors.Is(err, wire.ErrMalformed) && !errors.Is(err, wire.ErrUnknownType) && !errors.Is(err, wire.ErrTooLarge) {
				t.Fatalf("unexpected error: %v", err)
			}
			return
		}
		if _, err := wire.Encode(m); err != nil {
			t.Fatalf("decoded message cannot be encoded again: %v", err)
		}
	})
}
