package settings

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"

	"github.com/zeebo/xxh3"
)

// Field is one setting as operators see it.
type Field struct {
	// Path is the name of the setting in the file, "bounds.revoke_ms".
	Path string
	// Value is the value as text; the value of a secret is never included.
	Value string
	// Own fields differ between routers, such as names and addresses.
	Own bool
	// Live fields take effect without a restart.
	Live bool
}

// Change is a field that differs between two settings.
type Change struct {
	Path string
	// From and To are the values as text.
	From, To string
	// Live changes take effect without a restart.
	Live bool
}

// redactedValue replaces the value of a secret.
const redactedValue = "(secret)"

// The struct tags of a setting besides its name and its checks.
const (
	// tagApply is "restart" for a field that takes effect only at the next start.
	tagApply     = "apply"
	applyRestart = "restart"
	tagScope     = "scope"
	scopeOwn     = "own"
	tagSecret    = "secret"
	secretYes    = "yes"
)

// leaf is a single setting within a Settings.
type leaf struct {
	path  string
	tag   reflect.StructTag
	value reflect.Value
}

func (l leaf) isSecret() bool { return l.tag.Get(tagSecret) == secretYes }
func (l leaf) isOwn() bool    { return l.tag.Get(tagScope) == scopeOwn }
func (l leaf) isLive() bool   { return l.tag.Get(tagApply) != applyRestart }

func (l leaf) text() string {
	if l.isSecret() {
		return redactedValue
	}
	return fmt.Sprint(l.value.Interface())
}

// leaves returns all settings of a struct and its nested structs in the order of the fields.
func leaves(v reflect.Value, prefix string) []leaf {
	var out []leaf
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if field.Type.Kind() == reflect.Struct {
			out = append(out, leaves(v.Field(i), prefix+name+".")...)
			continue
		}
		out = append(out, leaf{path: prefix + name, tag: field.Tag, value: v.Field(i)})
	}
	return out
}

// Fields returns all settings in the order in which they are documented.
func (s *Settings) Fields() []Field {
	var out []Field
	for _, l := range leaves(reflect.ValueOf(s).Elem(), "") {
		out = append(out, Field{Path: l.path, Value: l.text(), Own: l.isOwn(), Live: l.isLive()})
	}
	return out
}

// Digest returns a hash of the settings that routers share. Routers with equal digests behave in
// the same way. Fields that differ between routers, such as names and addresses, and the values of
// secrets are not part of it.
func (s *Settings) Digest() string {
	h := xxh3.New()
	for _, f := range s.Fields() {
		if !f.Own {
			_, _ = h.WriteString(f.Path + "=" + f.Value + "\n")
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Changes returns the fields that differ.
func Changes(from, to *Settings) []Change {
	var out []Change
	after := leaves(reflect.ValueOf(to).Elem(), "")
	for i, before := range leaves(reflect.ValueOf(from).Elem(), "") {
		if !reflect.DeepEqual(before.value.Interface(), after[i].value.Interface()) {
			out = append(out, Change{Path: before.path, From: before.text(), To: after[i].text(), Live: before.isLive()})
		}
	}
	return out
}

// Effective returns the active settings after a running router applies new ones: the new values,
// except for fields that take effect only at a restart, which keep the old values.
func Effective(running, given *Settings) *Settings {
	out := *given
	kept := leaves(reflect.ValueOf(running).Elem(), "")
	for i, l := range leaves(reflect.ValueOf(&out).Elem(), "") {
		if !l.isLive() {
			l.value.Set(kept[i].value)
		}
	}
	return &out
}
