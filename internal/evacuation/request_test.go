package evacuation_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
)

// Guards against a key of another writer that evacuates something that does not exist, or that hides a valid request.
func TestInvalidRequestsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	valid, invalid := evacuation.ValidRequests(map[string][]byte{
		"b": []byte("{}"), "a": []byte(` {"by":"x"} `), "c": []byte("[]"), "d": []byte("null"), "e": []byte(""), "f": []byte("{"), "": []byte("{}"),
		"nowhere": []byte("{}"), "a/b": []byte("{}"),
	}, []string{"a", "b", "c", "d", "e", "f"}, nil)
	g.Expect(valid).To(gomega.Equal([]string{"a", "b"}))
	g.Expect(invalid).To(gomega.HaveLen(7))
	valid, invalid = evacuation.ValidRequests(map[string][]byte{"x": []byte("{}"), "": []byte("{}"), strings.Repeat("n", 129): []byte("{}")}, nil, nil)
	g.Expect(valid).To(gomega.Equal([]string{"x"}), "the settings name no data centre")
	g.Expect(invalid).To(gomega.HaveLen(2))
	many := make(map[string][]byte)
	for i := range 100 {
		many[fmt.Sprint(i)] = []byte("{}")
	}
	valid, invalid = evacuation.ValidRequests(many, nil, nil)
	g.Expect(valid).To(gomega.HaveLen(64))
	g.Expect(invalid).To(gomega.HaveLen(36))
}

// Guards against an evacuation that ends because another writer overwrites its request with something that cannot be read.
func TestOverwrittenRequestStillHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	valid, invalid := evacuation.ValidRequests(map[string][]byte{"a": []byte("?"), "b": []byte("?")}, []string{"a", "b"}, []string{"a"})
	g.Expect(valid).To(gomega.Equal([]string{"a"}))
	g.Expect(invalid).To(gomega.HaveLen(2), "both are reported")
}
