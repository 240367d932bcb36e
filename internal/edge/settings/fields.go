package settings

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"

	"github.com/zeebo/xxh3"
)

// Field is one setting, as operators are told of it.
type Field struct {
	// Path is its name in the file, "bounds.revoke_ms".
	Path string
	// Value is its value as text; that of a secret is never told.
	Value string
	// Own fields differ from router to router: its name, its addresses.
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

// secretValue stands for the value of a secret.
const secretValue = "(secret)"

// The tags of a setting beside its name and its checks.
const (
	// tagApply is "restart" for a field that takes effect at the next start only.
	tagApply   = "apply"
	atRestart  = "restart"
	tagScope   = "scope"
	scopeOwn   = "own"
	tagSecret  = "secret"
	secretMark = "yes"
)

// leaf is a setting and where it is in a Settings.
type leaf struct {
	path  string
	tag   reflect.StructTag
	value reflect.Value
}

func (l leaf) secret() bool { return l.tag.Get(tagSecret) == secretMark }
func (l leaf) own() bool    { return l.tag.Get(tagScope) == scopeOwn }
func (l leaf) live() bool   { return l.tag.Get(tagApply) != atRestart }

func (l leaf) text() string {
	if l.secret() {
		return secretValue
	}
	return fmt.Sprint(l.value.Interface())
}

// leaves returns all settings of a struct in the order of its fields.
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
		out = append(out, Field{Path: l.path, Value: l.text(), Own: l.own(), Live: l.live()})
	}
	return out
}

// Digest tells settings apart that routers share. Routers with the same one behave alike; their
// names, addresses and secrets are not in it.
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
			out = append(out, Change{Path: before.path, From: before.text(), To: after[i].text(), Live: before.live()})
		}
	}
	return out
}

// Effective returns what is in force once a router that runs with some settings is given others:
// of those that take effect at a restart only, the ones that it runs with.
func Effective(running, given *Settings) *Settings {
	out := *given
	kept := leaves(reflect.ValueOf(running).Elem(), "")
	for i, l := range leaves(reflect.ValueOf(&out).Elem(), "") {
		if !l.live() {
			l.value.Set(kept[i].value)
		}
	}
	return &out
}
