package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDiffIgnoresLayout(t *testing.T) {
	a := testBundle()
	b := withBase(t, `version: "1", adapters: [ad]`, `version: "2", adapters: [ad, x]`)
	b.Base = append([]byte("# a comment\n"), b.Base...)
	b.Overlays = map[string][]byte{"south": []byte("site: south\n")}
	var got []string
	for _, line := range Diff(a, b)[:4] {
		got = append(got, line.String())
	}
	assert.Equal(t, []string{
		"+ base.yaml: pools[lang].adapters[x] ",
		"~ base.yaml: pools[lang].version 1 -> 2",
		"- sites/north.yaml: accounts[acct].concurrency 3",
		"- sites/north.yaml: accounts[acct].max_priority high",
	}, got)
	assert.Empty(t, Diff(a, a))
	moved := withBase(t, "{method: POST, path: /receipts}", "{path: /receipts, method: PUT}")
	assert.Equal(t, []Difference{
		{Op: OpRemoved, Path: "base.yaml: services[portal].routes[POST /receipts].method", Old: "POST"},
		{Op: OpRemoved, Path: "base.yaml: services[portal].routes[POST /receipts].path", Old: "/receipts"},
		{Op: OpAdded, Path: "base.yaml: services[portal].routes[PUT /receipts].method", New: "PUT"},
		{Op: OpAdded, Path: "base.yaml: services[portal].routes[PUT /receipts].path", New: "/receipts"},
	}, Diff(a, moved))
	assert.Equal(t, []Difference{{Op: OpChanged, Path: BaseFile, Old: "[", New: "]"}}, Diff(Bundle{Base: []byte("[")}, Bundle{Base: []byte("]")}))
}
