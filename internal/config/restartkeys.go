package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// keyComparison collects the keys whose values differ between two files.
type keyComparison struct{ keys []string }

// RestartKeys returns the keys whose values differ in next and are not applied at a reload, only at a restart. o must
// be the file of the start. Domains and clusters are compared by name, other tables by their order. A path names a
// domain or cluster in place of its index, for example "cluster.chat.sessions".
func (o *Operator) RestartKeys(next *Operator) []string {
	var found keyComparison
	found.compare("limits", o.Limits, next.Limits)
	found.compare("listener", o.Listeners, next.Listeners)
	found.compare("class", o.Classes, next.Classes)
	found.compare("capture", o.Capture, next.Capture)
	found.compare("fleet", o.Fleet, next.Fleet)
	if o.Fleet != nil && next.Fleet != nil {
		found.compare("fleet.nodes", o.Fleet.List, next.Fleet.List)
		found.compare("fleet.key_file", o.Fleet.Secret, next.Fleet.Secret)
	}
	found.compare("domain", fixedDomains(o.Domains), fixedDomains(next.Domains))
	found.compare("cluster", fixedClusters(o.Clusters), fixedClusters(next.Clusters))
	return found.keys
}

// fixedDomain holds the values of a domain that a reload does not apply.
type fixedDomain struct {
	Cluster string `toml:"cluster"`
	Class   string `toml:"class"`
}

func fixedDomains(domains []Domain) map[string]fixedDomain {
	byName := map[string]fixedDomain{}
	for _, domain := range domains {
		byName[domain.Name] = fixedDomain{Cluster: domain.Cluster, Class: domain.Class}
	}
	return byName
}

// fixedClusters returns the clusters by name, without the values that a reload applies.
func fixedClusters(clusters []Cluster) map[string]Cluster {
	byName := map[string]Cluster{}
	for _, cluster := range clusters {
		cluster.Discovery = ""
		cluster.Servers = nil
		byName[cluster.Name] = cluster
	}
	return byName
}

// fixedValues holds the values of config.json that a reload does not apply, as they are in the file.
type fixedValues struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Mgmt       string `json:"mgmt"`
	PeerListen string `json:"peer_listen"`
}

// changedIn returns the keys whose values differ in next.
func (f fixedValues) changedIn(next fixedValues) []string {
	var found keyComparison
	found.compare("", f, next)
	return found.keys
}

// compare adds the paths of the values that differ. Both values have the same type.
func (k *keyComparison) compare(path string, before, after any) {
	k.compareValues(path, reflect.ValueOf(before), reflect.ValueOf(after))
}

func (k *keyComparison) compareValues(path string, before, after reflect.Value) {
	if reflect.DeepEqual(before.Interface(), after.Interface()) {
		return
	}
	switch {
	case before.Kind() == reflect.Pointer && !before.IsNil() && !after.IsNil():
		k.compareValues(path, before.Elem(), after.Elem())
	case before.Kind() == reflect.Struct:
		k.compareFields(path, before, after)
	case before.Kind() == reflect.Map:
		k.compareEntries(path, before, after)
	case before.Kind() == reflect.Slice && before.Len() == after.Len() && before.Type().Elem().Kind() == reflect.Struct:
		for i := range before.Len() {
			k.compareValues(fmt.Sprintf("%s.%d", path, i), before.Index(i), after.Index(i))
		}
	default:
		k.keys = append(k.keys, path)
	}
}

// compareFields compares structs by their keys. Fields without a key hold what is read from other files.
func (k *keyComparison) compareFields(path string, before, after reflect.Value) {
	for i := range before.NumField() {
		field := before.Type().Field(i)
		if name := keyOf(field); name != "" {
			k.compareValues(strings.TrimPrefix(path+"."+name, "."), before.Field(i), after.Field(i))
		}
	}
}

// compareEntries compares maps whose keys are names. An entry that only one of them has is a difference itself.
func (k *keyComparison) compareEntries(path string, before, after reflect.Value) {
	names := map[string]bool{}
	for _, entries := range []reflect.Value{before, after} {
		for _, name := range entries.MapKeys() {
			names[name.String()] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		entryPath := path + "." + name
		entryBefore, entryAfter := before.MapIndex(reflect.ValueOf(name)), after.MapIndex(reflect.ValueOf(name))
		if !entryBefore.IsValid() || !entryAfter.IsValid() {
			k.keys = append(k.keys, entryPath)
			continue
		}
		k.compareValues(entryPath, entryBefore, entryAfter)
	}
}

// keyOf returns the key of a field, or "" if it has none.
func keyOf(field reflect.StructField) string {
	tag, ok := field.Tag.Lookup("toml")
	if !ok {
		tag = field.Tag.Get("json")
	}
	name, _, _ := strings.Cut(tag, ",")
	if name == "-" {
		return ""
	}
	return name
}
