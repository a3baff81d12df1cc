package language

import (
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// WriteText writes the table as text with aligned columns, followed by a line
// with the number of rows.
func (t Table) WriteText(w io.Writer) error {
	widths := make([]int, len(t.Columns))
	header := make([]string, len(t.Columns))
	for i, c := range t.Columns {
		header[i] = c.Name
		widths[i] = utf8.RuneCountInString(c.Name)
	}
	lines := make([][]string, 0, len(t.Rows))
	for _, row := range t.Rows {
		line := make([]string, len(row))
		for i, v := range row {
			line[i] = cellText(v)
			widths[i] = max(widths[i], utf8.RuneCountInString(line[i]))
		}
		lines = append(lines, line)
	}
	var b strings.Builder
	writeLine(&b, header, widths)
	for _, line := range lines {
		writeLine(&b, line, widths)
	}
	fmt.Fprintf(&b, "(%s)\n", formatRowCount(len(t.Rows)))
	_, err := io.WriteString(w, b.String())
	return err
}

// cellText returns the text of a cell on one line, or "-" for an empty cell.
func cellText(v Value) string {
	text := strings.Join(strings.Fields(v.String()), " ")
	if text == "" {
		return "-"
	}
	return text
}

func writeLine(b *strings.Builder, cells []string, widths []int) {
	for i, c := range cells {
		b.WriteString(c)
		if i < len(cells)-1 {
			b.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c)+2))
		}
	}
	b.WriteByte('\n')
}

func formatRowCount(n int) string {
	if n == 1 {
		return "1 row"
	}
	return fmt.Sprintf("%d rows", n)
}
