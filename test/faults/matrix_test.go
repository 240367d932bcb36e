// Package faults runs the fault matrix: every fault at every step. Its page is
// docs/FAULTS.md, which is written from the run.
package faults

import (
	"flag"
	"os"
	"strings"
	"testing"

	"damaskrouter.example/damaskrouter/internal/faultkit"
	"github.com/stretchr/testify/require"
)

const pageFile = "../../docs/FAULTS.md"

var update = flag.Bool("update", false, "write docs/FAULTS.md from the run")

// proof is the test of one cell.
type proof struct {
	promises []faultkit.Promise
	// does says in one line what the test does.
	does string
	run  func(t *testing.T)
}

// proofs are the tests by cell.
type proofs map[faultkit.Key]proof

func (p proofs) add(f faultkit.Fault, s faultkit.Step, x proof) {
	key := faultkit.Key{Fault: f, Step: s}
	if _, twice := p[key]; twice {
		panic("two proofs of " + string(f) + " at " + string(s))
	}
	p[key] = x
}

// merge takes in the proofs of one activity.
func (p proofs) merge(more proofs) {
	for key, x := range more {
		p.add(key.Fault, key.Step, x)
	}
}

func allProofs() proofs {
	all := proofs{}
	for _, some := range []func() proofs{receiptProofs} {
		all.merge(some())
	}
	return all
}

// TestMatrix runs all cells, and compares the page with the run.
func TestMatrix(t *testing.T) {
	run := newMatrixRun(allProofs())
	for _, g := range faultkit.Groups {
		for _, step := range g.Steps {
			t.Run(testName(string(step)), func(t *testing.T) { run.step(t, step) })
		}
	}
	if t.Failed() || !run.complete() {
		t.Log("some cells failed or were not run; the page is not compared")
		return
	}
	page := faultkit.Page(run.matrix)
	if *update {
		require.NoError(t, os.WriteFile(pageFile, []byte(page), 0o644))
	}
	want, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	require.True(t, string(want) == page, "docs/FAULTS.md differs from the run; write it with -args -update")
}

// matrixRun is one run of the matrix.
type matrixRun struct {
	proofs proofs
	ran    map[faultkit.Key]bool
	matrix faultkit.Matrix
}

func newMatrixRun(p proofs) *matrixRun {
	return &matrixRun{proofs: p, ran: make(map[faultkit.Key]bool), matrix: faultkit.Matrix{}}
}

// complete reports whether no proof was left out by -run.
func (m *matrixRun) complete() bool { return len(m.ran) == len(m.proofs) }

func (m *matrixRun) step(t *testing.T, step faultkit.Step) {
	for _, f := range faultkit.Singles {
		m.cell(t, f, step)
	}
	for _, f := range faultkit.Pairs {
		if _, ok := m.proofs[faultkit.Key{Fault: f, Step: step}]; ok {
			m.cell(t, f, step)
		}
	}
}

func (m *matrixRun) cell(t *testing.T, f faultkit.Fault, step faultkit.Step) {
	key := faultkit.Key{Fault: f, Step: step}
	cell := faultkit.Cell{Fault: f, Step: step}
	p, ok := m.proofs[key]
	if !ok {
		cell.Status, cell.Note = unproved(key)
		m.matrix[key] = cell
		return
	}
	passed := t.Run(testName(string(f)), func(t *testing.T) {
		m.ran[key] = true
		p.run(t)
	})
	cell.Status = faultkit.Failed
	if passed {
		cell.Status = faultkit.Proved
	}
	cell.Promises = p.promises
	cell.Note = p.does
	m.matrix[key] = cell
}

func testName(s string) string { return strings.ReplaceAll(s, " ", "_") }
