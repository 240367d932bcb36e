package config

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
)

// largeBundle returns a bundle of the size that the project is designed for: 6
// sites, 11 models, and the given number of client accounts.
func largeBundle(accounts int) Bundle {
	const sites, models = 6, 11
	var b strings.Builder
	b.WriteString("teams: [{name: t}]\nsites:\n")
	b.WriteString(strings.Repeat("  - {name: sN, region: r}\n", sites))
	b.WriteString("models:\n")
	for m := range models {
		fmt.Fprintf(&b, "  - {name: m%d, versions: [v1, v2], adapters: [a1, a2]}\n", m)
	}
	b.WriteString("pools:\n")
	for m := range models {
		fmt.Fprintf(&b, "  - {name: p%d, sites: [s0, s1, s2, s3, s4, s5], model: m%d, version: v1, adapters: [a1, a2]}\n", m, m)
	}
	b.WriteString("accounts:\n")
	for a := range accounts {
		hash := sha256.Sum256([]byte(fmt.Sprint(a)))
		fmt.Fprintf(&b, "  - {name: c%d, team: t, key_hashes: [%x], weight: 2, requests_per_second: 40, concurrency: 90, models: [m1, m2]}\n", a, hash)
	}
	text := b.String()
	for s := range sites {
		text = strings.Replace(text, "sN", fmt.Sprintf("s%d", s), 1)
	}
	return Bundle{Base: []byte(text)}
}

// BenchmarkOffer measures the cost of activating one version at a router, and
// reports the size of the version in bytes as text and compressed.
func BenchmarkOffer(b *testing.B) {
	for _, accounts := range []int{10, 410, 820} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			bundle := largeBundle(accounts)
			if problems := Validate(bundle); len(problems) > 0 {
				b.Fatal(Problems(problems))
			}
			packed, err := pack(bundle)
			if err != nil {
				b.Fatal(err)
			}
			hash := bundle.Hash()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := NewFollower("s0").Offer(1, hash, bundle); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(packed)), "packed-B")
			b.ReportMetric(float64(len(bundle.Base)), "text-B")
		})
	}
}
