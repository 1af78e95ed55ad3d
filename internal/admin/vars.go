package admin

import (
	"encoding/json"
	"expvar"
	"strings"
)

// Vars holds the metrics of one instance. Each instance has its own namespace, so that several of them can run in one
// operating system process; the package expvar itself has one namespace for the whole process. It is safe for concurrent
// use.
type Vars struct{ root expvar.Map }

// NewVars returns an empty set of metrics.
func NewVars() *Vars { return new(Vars) }

// Int adds a counter or gauge. The name must be unique.
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

// Func adds a metric that is computed when it is read. The value must be encodable as JSON, and the function must be safe
// for concurrent use.
func (v *Vars) Func(name string, f func() any) { v.root.Set(name, expvar.Func(f)) }

// Set adds an existing metric. The metric must be safe for concurrent use.
func (v *Vars) Set(name string, metric expvar.Var) { v.root.Set(name, metric) }

// Get returns the metric of that name, or nil.
func (v *Vars) Get(name string) expvar.Var { return v.root.Get(name) }

// encode returns the metrics of the instance under the name of its role, together with the metrics that package expvar
// publishes for the whole process (cmdline and memstats).
func (v *Vars) encode(role string) map[string]json.RawMessage {
	all := make(map[string]json.RawMessage)
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = rawJSON(kv.Value) })
	all[role] = rawJSON(&v.root)
	return all
}

func rawJSON(v expvar.Var) json.RawMessage {
	return json.RawMessage(strings.ToValidUTF8(v.String(), "\uFFFD"))
}
