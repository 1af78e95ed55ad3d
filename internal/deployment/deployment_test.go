package deployment_test

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
)

// Guards against unintended changes to an embedded deployment: the number of data centres and workers, the delays and the
// request kinds.
func TestEmbeddedDeployments(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(deployment.Names()).To(gomega.ConsistOf("wax", "mkeka"))
	cases := map[string]struct {
		centres int
		delay   time.Duration
		kinds   []string
	}{
		"wax":   {4, time.Millisecond, []string{"hot-wax", "base-grind", "edge-check"}},
		"mkeka": {3, 1500 * time.Microsecond, []string{"price-quote", "slot-reservation", "reed-stock-check"}},
	}
	for name, want := range cases {
		d, err := deployment.Load(name)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(d.Name).To(gomega.Equal(name))
		g.Expect(d.DataCentres).To(gomega.HaveLen(want.centres))
		g.Expect(d.Delay(d.DataCentres[0].ID, d.DataCentres[1].ID)).To(gomega.Equal(want.delay))
		g.Expect(d.Network.ToClients).To(gomega.Equal(3 * time.Millisecond))
		g.Expect(d.Workers).To(gomega.HaveLen(11))
		g.Expect(d.Entries).To(gomega.BeNumerically(">=", 3))
		service, err := d.Service("")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for i, kind := range want.kinds {
			g.Expect(service.Kinds[i].Name).To(gomega.Equal(kind))
		}
	}
}

// Guards against a typo or an inconsistency in a deployment file that silently changes the load.
func TestParseRejectsInvalidDeployments(t *testing.T) {
	text, err := os.ReadFile("files/wax.yaml")
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string][2]string{
		"unknown field":       {"region: erzurum", "region: erzurum\nregions: 2"},
		"repeated field":      {"region: erzurum", "region: erzurum\nregion: other"},
		"too few entries":     {"entries: 4", "entries: 2"},
		"unknown data centre": {"data_centre: ilica", "data_centre: bursa"},
		"unknown service":     {"service: bench, processors: 20", "service: other, processors: 20"},
		"repeated worker":     {"id: bench-02", "id: bench-01"},
		"four in a rack":      {"rack: rack-2, data_centre: konakli", "rack: rack-1, data_centre: palandoken"},
		"rack in two places":  {"rack: rack-4, data_centre: ilica", "rack: rack-2, data_centre: ilica"},
		"speed 0":             {"speed: 1.5", "speed: 0"},
		"no slots":            {"slots: 8, connections: 64}\nservices", "slots: 0, connections: 64}\nservices"},
		"unknown kind":        {"kind: hot-wax", "kind: cold-wax"},
		"too many tasks":      {"to: 140", "to: 141"},
		"empty class":         {"{from: 9, to: 20", "{from: 21, to: 20"},
		"empty work class":    {"{from: 8s, to: 20s", "{from: 8s, to: 7s"},
		"crest too long":      {"crest_time: 6s", "crest_time: 29s"},
		"other document":      {"service: bench\n      team", "service: banch\n      team"},
		"long deadline":       {"deadline: 60s", "deadline: 61s"},
		"second document":     {"name: wax", "name: wax\n---\nname: wax"},
		"share above 1":       {"cancel_share: 0.03", "cancel_share: 1.03"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(string(text)).To(gomega.ContainSubstring(c[0]))
			_, err := deployment.Parse([]byte(strings.ReplaceAll(string(text), c[0], c[1])))
			g.Expect(errors.Is(err, deployment.ErrInvalid)).To(gomega.BeTrue(), "error: %v", err)
		})
	}
}

// Guards against deployments that can be loaded only by the name of an embedded one.
func TestLoadReadsFile(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile("files/mkeka.yaml")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	file := filepath.Join(t.TempDir(), "other.yaml")
	g.Expect(os.WriteFile(file, text, 0o600)).To(gomega.Succeed())
	d, err := deployment.Load(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.Name).To(gomega.Equal("mkeka"))
	for _, missing := range []string{"none", "", "../wax", file + ".none"} {
		_, err = deployment.Load(missing)
		g.Expect(errors.Is(err, deployment.ErrNotFound)).To(gomega.BeTrue(), missing)
	}
}

// Guards against expected values that do not match the random draws, in which case the demand would not be the configured
// share of capacity.
func TestDrawsMatchTheExpectedWork(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, name := range deployment.Names() {
		d, err := deployment.Load(name)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		load := &d.Services[0].Load
		const jobs = 40_000
		work, largest := 0.0, 0
		for range jobs {
			kind := load.DrawKind(random)
			tasks := kind.DrawTasks(random)
			largest = max(largest, tasks)
			for range tasks {
				work += kind.DrawWork(random).Seconds()
			}
		}
		g.Expect(work / jobs).To(gomega.BeNumerically("~", load.WorkPerJob(), 0.06*load.WorkPerJob()))
		g.Expect(largest).To(gomega.And(gomega.BeNumerically(">", 130), gomega.BeNumerically("<=", 140)))
	}
}

// Guards against a demand that never reaches its peak, jumps instead of ramping, or counts the ramps as part of the peak.
func TestDemandFollowsItsPeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	d := deployment.Demand{Trough: 0.5, Crest: 1.5, Period: 10 * time.Second, CrestTime: 2 * time.Second, Ramp: time.Second}
	for at, want := range map[time.Duration]float64{
		0: 0.5, 5999 * time.Millisecond: 0.5, 6500 * time.Millisecond: 1.0, 7 * time.Second: 1.5, 8999 * time.Millisecond: 1.5,
		9500 * time.Millisecond: 1.0, 17 * time.Second: 1.5,
	} {
		share, atPeak := d.At(at)
		g.Expect(share).To(gomega.BeNumerically("~", want, 1e-9), at.String())
		g.Expect(atPeak).To(gomega.Equal(want == 1.5), at.String())
	}
}
