package faultkit

import (
	"fmt"
	"slices"
	"strings"
)

// statusMarks are the texts of the statuses in the tables of the page.
var statusMarks = map[Status]string{Open: "open", NotApplicable: "–", Passed: "P", Failed: "FAILED"}

// pageHeader precedes the tables.
const pageHeader = `# Faults

Written by the run of the fault matrix; do not edit. A cell is one fault at one
step. **P** means that a test injected the fault at the step and asserted the
guarantees named below; **–** that the fault can't occur there, with the reason
below; **open** that the test is missing.

To run the matrix, and to write this page from the run:

` + "```" + `
go test ./test/faults -run TestMatrix
go test ./test/faults -run TestMatrix -args -update
` + "```" + `

The first command fails if a guarantee does not hold, or if this page and the
run differ. One cell is run by its name, such as
` + "`-run 'TestMatrix/claim/store_down'`" + `. The tests inject faults at the narrow interfaces
(connections, table service, datagrams) in one process on a virtual clock;
for tests with several processes see ` + "`test/e2e`" + `.

The guarantees, checked by the records of the stand-ins and by what each caller received:

`

// Page renders the matrix as Markdown. Equal matrices always produce equal pages.
func Page(m Matrix) string {
	var b strings.Builder
	b.WriteString(pageHeader)
	for p := LoadBound; p <= ConfigNeverReverts; p++ {
		fmt.Fprintf(&b, "- **P%d**: %s\n", p, GuaranteeTexts[p])
	}
	writeCounts(&b, m)
	for _, g := range StepGroups {
		fmt.Fprintf(&b, "\n## %s\n\n", g.Title)
		writeTable(&b, m, g.Steps)
	}
	writeList(&b, m, Open, "Open cells", "No cell is open.")
	writePassed(&b, m)
	writeList(&b, m, NotApplicable, "Cells that do not apply", "All cells apply.")
	return b.String()
}

func writeCounts(b *strings.Builder, m Matrix) {
	n := m.Counts()
	fmt.Fprintf(b, "\n%d cells: %d passed, %d not applicable, %d open.\n",
		len(m), n[Passed], n[NotApplicable], n[Open])
	if n[Failed] > 0 {
		fmt.Fprintf(b, "\n%d cells FAILED.\n", n[Failed])
	}
}

func writeTable(b *strings.Builder, m Matrix, steps []Step) {
	b.WriteString("| fault |")
	for _, s := range steps {
		fmt.Fprintf(b, " %s |", s)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(steps)) + "\n")
	for _, f := range slices.Concat(SingleFaults, FaultPairs) {
		if row, found := tableRow(m, f, steps); found {
			b.WriteString(row)
		}
	}
}

// tableRow renders the row of one fault. found is false for a pair without a cell in
// this table, which gets no row.
func tableRow(m Matrix, f Fault, steps []Step) (row string, found bool) {
	row = fmt.Sprintf("| %s |", f)
	for _, s := range steps {
		c, ok := m[Key{f, s}]
		found = found || ok
		mark := ""
		if ok {
			mark = statusMarks[c.Status]
		}
		row += " " + mark + " |"
	}
	return row + "\n", found
}

// writeList lists the cells of one status. Cells of a step that share a note share a
// line.
func writeList(b *strings.Builder, m Matrix, s Status, title, emptyText string) {
	fmt.Fprintf(b, "\n## %s\n\n", title)
	found := false
	for _, g := range StepGroups {
		for _, step := range g.Steps {
			for _, note := range notesAt(m, s, step) {
				found = true
				fmt.Fprintf(b, "- %s: %s. %s.\n", step, strings.Join(faultsWith(m, s, step, note), ", "), note)
			}
		}
	}
	if !found {
		b.WriteString(emptyText + "\n")
	}
}

func notesAt(m Matrix, s Status, step Step) []string {
	var notes []string
	for _, f := range slices.Concat(SingleFaults, FaultPairs) {
		c, ok := m[Key{f, step}]
		if ok && c.Status == s && !slices.Contains(notes, c.Note) {
			notes = append(notes, c.Note)
		}
	}
	return notes
}

func faultsWith(m Matrix, s Status, step Step, note string) []string {
	var out []string
	for _, f := range slices.Concat(SingleFaults, FaultPairs) {
		if c, ok := m[Key{f, step}]; ok && c.Status == s && c.Note == note {
			out = append(out, string(f))
		}
	}
	return out
}

func writePassed(b *strings.Builder, m Matrix) {
	b.WriteString("\n## Passed cells\n\n| step | fault | guarantees | what the test does |\n|---|---|---|---|\n")
	for _, g := range StepGroups {
		for _, step := range g.Steps {
			for _, f := range slices.Concat(SingleFaults, FaultPairs) {
				if c, ok := m[Key{f, step}]; ok && c.Status == Passed {
					fmt.Fprintf(b, "| %s | %s | %s | %s |\n", step, f, guaranteeNames(c.Promises), c.Note)
				}
			}
		}
	}
}

func guaranteeNames(guarantees []Guarantee) string {
	var names []string
	for _, p := range guarantees {
		names = append(names, fmt.Sprintf("P%d", p))
	}
	return strings.Join(names, " ")
}
