package faultkit

import (
	"fmt"
	"slices"
	"strings"
)

// marks are the statuses as the page shows them.
var marks = map[Status]string{Open: "open", NotApplicable: "–", Proved: "P", Failed: "FAILED"}

// pageHead stands above the tables.
const pageHead = `# Faults

Written by the run of the fault matrix; do not edit. A cell is one fault at one
step. **P** means that a test struck with the fault at the step and asserted the
promises named below; **–** that the fault can't strike there, with the reason
below; **open** that the proof is missing.

To run the matrix, and to write this page from the run:

` + "```" + `
go test ./test/faults -run TestMatrix
go test ./test/faults -run TestMatrix -args -update
` + "```" + `

The first command fails when a promise does not hold, and when this page and the
run differ. One cell is run by its name, such as
` + "`-run 'TestMatrix/claim/store_down'`" + `. The tests strike at the narrow interfaces
(connections, table service, datagrams) in one process on a virtual clock;
what several processes do is in ` + "`test/e2e`" + `.

The promises, judged by the stand-ins' own books and by what each caller got:

`

// Page renders the matrix as Markdown. Equal matrices give equal pages.
func Page(m Matrix) string {
	var b strings.Builder
	b.WriteString(pageHead)
	for p := LoadBound; p <= ConfigHolds; p++ {
		fmt.Fprintf(&b, "- **P%d**: %s\n", p, PromiseTexts[p])
	}
	writeCounts(&b, m)
	for _, g := range Groups {
		fmt.Fprintf(&b, "\n## %s\n\n", g.Title)
		writeTable(&b, m, g.Steps)
	}
	writeList(&b, m, Open, "Open cells", "No cell is open.")
	writeProved(&b, m)
	writeList(&b, m, NotApplicable, "Cells that do not apply", "All cells apply.")
	return b.String()
}

func writeCounts(b *strings.Builder, m Matrix) {
	n := m.Counts()
	fmt.Fprintf(b, "\n%d cells: %d proved, %d not applicable, %d open.\n",
		len(m), n[Proved], n[NotApplicable], n[Open])
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
	for _, f := range slices.Concat(Singles, Pairs) {
		if row, any := tableRow(m, f, steps); any {
			b.WriteString(row)
		}
	}
}

// tableRow renders one fault; a pair without a cell in this table has no row.
func tableRow(m Matrix, f Fault, steps []Step) (row string, any bool) {
	row = fmt.Sprintf("| %s |", f)
	for _, s := range steps {
		c, ok := m[Key{f, s}]
		any = any || ok
		mark := ""
		if ok {
			mark = marks[c.Status]
		}
		row += " " + mark + " |"
	}
	return row + "\n", any
}

// writeList lists the cells of one status, those with equal notes together.
func writeList(b *strings.Builder, m Matrix, s Status, title, none string) {
	fmt.Fprintf(b, "\n## %s\n\n", title)
	any := false
	for _, g := range Groups {
		for _, step := range g.Steps {
			for _, note := range notesAt(m, s, step) {
				any = true
				fmt.Fprintf(b, "- %s: %s. %s.\n", step, strings.Join(faultsWith(m, s, step, note), ", "), note)
			}
		}
	}
	if !any {
		b.WriteString(none + "\n")
	}
}

func notesAt(m Matrix, s Status, step Step) []string {
	var notes []string
	for _, f := range slices.Concat(Singles, Pairs) {
		c, ok := m[Key{f, step}]
		if ok && c.Status == s && !slices.Contains(notes, c.Note) {
			notes = append(notes, c.Note)
		}
	}
	return notes
}

func faultsWith(m Matrix, s Status, step Step, note string) []string {
	var out []string
	for _, f := range slices.Concat(Singles, Pairs) {
		if c, ok := m[Key{f, step}]; ok && c.Status == s && c.Note == note {
			out = append(out, string(f))
		}
	}
	return out
}

func writeProved(b *strings.Builder, m Matrix) {
	b.WriteString("\n## Proved cells\n\n| step | fault | promises | what the test does |\n|---|---|---|---|\n")
	for _, g := range Groups {
		for _, step := range g.Steps {
			for _, f := range slices.Concat(Singles, Pairs) {
				if c, ok := m[Key{f, step}]; ok && c.Status == Proved {
					fmt.Fprintf(b, "| %s | %s | %s | %s |\n", step, f, promiseNames(c.Promises), c.Note)
				}
			}
		}
	}
}

func promiseNames(ps []Promise) string {
	var names []string
	for _, p := range ps {
		names = append(names, fmt.Sprintf("P%d", p))
	}
	return strings.Join(names, " ")
}
