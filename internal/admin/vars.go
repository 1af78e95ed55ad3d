package admin

import (
	"encoding/json"
	"expvar"
	"strings"
)

// Vars holds the metrics of one process instance. Instances do not share a name space, so that several of them can live
// in one binary; the package expvar itself has one for the whole binary. It is safe for concurrent use.
type Vars struct{ root expvar.Map }

// NewVars returns an empty set of metrics.
func NewVars() *Vars { return new(Vars) }

// Int adds a counter or gauge. The name is used once.
func (v *Vars) Int(name string) *expvar.Int {
	metric := new(expvar.Int)
	v.root.Set(name, metric)
	return metric
}

// Map adds a group of metrics, one for each key.
func (v *Vars) Map(name string) *expvar.Map {
	metric := new(expvar.Map).Init()
	v.root.Set(name, metric)
	return metric
}

// Func adds a metric that is computed when it is read. The value must be one that JSON can represent, and the function
// must be safe for concurrent use.
func (v *Vars) Func(name string, f func() any) { v.root.Set(name, expvar.Func(f)) }

// Set adds a metric that is kept elsewhere. It must be safe for concurrent use.
func (v *Vars) Set(name string, metric expvar.Var) { v.root.Set(name, metric) }

// Get returns the metric of that name, or nil.
func (v *Vars) Get(name string) expvar.Var { return v.root.Get(name) }

// document returns the metrics of the instance under the name of its role, together with what the binary publishes
// (cmdline and memstats).
func (v *Vars) document(role string) map[string]json.RawMessage {
	all := make(map[string]json.RawMessage)
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = raw(kv.Value) })
	all[role] = raw(&v.root)
	return all
}

func raw(v expvar.Var) json.RawMessage {
	return json.RawMessage(strings.ToValidUTF8(v.String(), "\uFFFD"))
}
