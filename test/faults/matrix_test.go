// Package faults runs the fault matrix: every fault at every step. Its page is
// docs/FAULTS.md, which is written from the run.
package faults

import (
	"flag"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
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

// proofs are the tests by cell. A cell may have several, for different ends of
// a connection or kinds of request; it is proved if all pass.
type proofs map[faultkit.Key][]proof

func (p proofs) add(f faultkit.Fault, s faultkit.Step, x proof) {
	key := faultkit.Key{Fault: f, Step: s}
	p[key] = append(p[key], x)
}

// merge takes in the proofs of one activity.
func (p proofs) merge(more proofs) {
	for key, list := range more {
		p[key] = append(p[key], list...)
	}
}

func allProofs() proofs {
	all := proofs{}
	for _, some := range []func() proofs{receiptProofs, chatProofs, changeProofs, membershipProofs, grantProofs, leavingProofs, floodProofs, viewProofs} {
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

// matrixRun is one run of the matrix. Cells of a step run in parallel.
type matrixRun struct {
	proofs proofs

	mu     sync.Mutex
	ran    int
	matrix faultkit.Matrix
}

func newMatrixRun(p proofs) *matrixRun {
	return &matrixRun{proofs: p, matrix: faultkit.Matrix{}}
}

// complete reports whether no proof was left out by -run.
func (m *matrixRun) complete() bool { return m.ran == len(m.proofs) }

func (m *matrixRun) step(t *testing.T, step faultkit.Step) {
	for _, f := range faultkit.Singles {
		m.cell(t, faultkit.Key{Fault: f, Step: step})
	}
	for _, f := range faultkit.Pairs {
		key := faultkit.Key{Fault: f, Step: step}
		if _, ok := m.proofs[key]; ok {
			m.cell(t, key)
		}
	}
}

func (m *matrixRun) cell(t *testing.T, key faultkit.Key) {
	list, ok := m.proofs[key]
	if !ok {
		status, why := unproved(key)
		m.note(faultkit.Cell{Fault: key.Fault, Step: key.Step, Status: status, Note: why})
		return
	}
	cell := faultkit.Cell{Fault: key.Fault, Step: key.Step, Status: faultkit.Proved}
	cell.Promises, cell.Note = describe(list)
	t.Run(testName(string(key.Fault)), func(t *testing.T) {
		t.Parallel()
		t.Cleanup(func() { m.prove(t, cell) })
		for _, p := range list {
			t.Run(testName(p.does), p.run)
		}
	})
}

// prove notes a cell whose tests have run.
func (m *matrixRun) prove(t *testing.T, c faultkit.Cell) {
	if t.Failed() {
		c.Status = faultkit.Failed
	}
	m.note(c)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ran++
}

func (m *matrixRun) note(c faultkit.Cell) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.matrix[faultkit.Key{Fault: c.Fault, Step: c.Step}] = c
}

// describe sums up the proofs of one cell for the page.
func describe(list []proof) (promises []faultkit.Promise, does string) {
	var texts []string
	for _, p := range list {
		texts = append(texts, p.does)
		promises = append(promises, p.promises...)
	}
	slices.Sort(promises)
	return slices.Compact(promises), strings.Join(texts, "; ")
}

func testName(s string) string { return strings.ReplaceAll(s, " ", "_") }
