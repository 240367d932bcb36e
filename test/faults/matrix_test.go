// Package faults runs the fault matrix: every fault at every step. The results are
// written to docs/FAULTS.md.
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

// cellTest is a test of one cell.
type cellTest struct {
	guarantees []faultkit.Guarantee
	// description describes the test in one line.
	description string
	run         func(t *testing.T)
}

// cellTests maps cells to their tests. A cell may have several, for different ends of a
// connection or kinds of request; it passes if all of them pass.
type cellTests map[faultkit.Key][]cellTest

func (t cellTests) add(f faultkit.Fault, s faultkit.Step, test cellTest) {
	key := faultkit.Key{Fault: f, Step: s}
	t[key] = append(t[key], test)
}

// merge adds the tests of another map.
func (t cellTests) merge(others cellTests) {
	for key, list := range others {
		t[key] = append(t[key], list...)
	}
}

func allCellTests() cellTests {
	all := cellTests{}
	for _, activityTests := range []func() cellTests{receiptTests, chatTests, changeTests, membershipTests, permitTests, upstreamTests, floodTests, viewTests} {
		all.merge(activityTests())
	}
	return all
}

// TestMatrix runs all cells and compares docs/FAULTS.md with the results.
func TestMatrix(t *testing.T) {
	run := newMatrixRun(allCellTests())
	for _, g := range faultkit.StepGroups {
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
	tests cellTests

	mu       sync.Mutex
	executed int
	matrix   faultkit.Matrix
}

func newMatrixRun(p cellTests) *matrixRun {
	return &matrixRun{tests: p, matrix: faultkit.Matrix{}}
}

// complete reports whether all cells with tests were executed. It is false if -run
// selected some of them.
func (m *matrixRun) complete() bool { return m.executed == len(m.tests) }

func (m *matrixRun) step(t *testing.T, step faultkit.Step) {
	for _, f := range faultkit.SingleFaults {
		m.cell(t, faultkit.Key{Fault: f, Step: step})
	}
	for _, f := range faultkit.FaultPairs {
		key := faultkit.Key{Fault: f, Step: step}
		if _, ok := m.tests[key]; ok {
			m.cell(t, key)
		}
	}
}

func (m *matrixRun) cell(t *testing.T, key faultkit.Key) {
	list, ok := m.tests[key]
	if !ok {
		status, note := untestedStatus(key)
		m.record(faultkit.Cell{Fault: key.Fault, Step: key.Step, Status: status, Note: note})
		return
	}
	cell := faultkit.Cell{Fault: key.Fault, Step: key.Step, Status: faultkit.Passed}
	cell.Promises, cell.Note = describe(list)
	t.Run(testName(string(key.Fault)), func(t *testing.T) {
		t.Parallel()
		t.Cleanup(func() { m.recordResult(t, cell) })
		for _, p := range list {
			t.Run(testName(p.description), p.run)
		}
	})
}

// recordResult records a cell whose tests have run.
func (m *matrixRun) recordResult(t *testing.T, c faultkit.Cell) {
	if t.Failed() {
		c.Status = faultkit.Failed
	}
	m.record(c)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.executed++
}

func (m *matrixRun) record(c faultkit.Cell) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.matrix[faultkit.Key{Fault: c.Fault, Step: c.Step}] = c
}

// describe summarizes the tests of one cell for the page.
func describe(list []cellTest) (guarantees []faultkit.Guarantee, description string) {
	var texts []string
	for _, p := range list {
		texts = append(texts, p.description)
		guarantees = append(guarantees, p.guarantees...)
	}
	slices.Sort(guarantees)
	return slices.Compact(guarantees), strings.Join(texts, "; ")
}

func testName(s string) string { return strings.ReplaceAll(s, " ", "_") }
