package commandrunner

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/loadgenerator"
)

const maxProblemsShown = 20

type loadCommand struct {
	command
	fleetOption
	Mix    string `short:"m" long:"mix" required:"true" value-name:"FILE" description:"JSON file that describes the requests to send"`
	Verify string `long:"verify" value-name:"TITLE" description:"compare the results with the accounts of the fleet, and print a last line that begins with the title"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	mix, err := loadgenerator.LoadMix(c.Mix)
	if err != nil {
		return usageError{err}
	}
	g := loadgenerator.New(loadgenerator.Config{Mix: mix, Progress: os.Stderr})
	report := g.Run(c.ctx)
	if c.JSON {
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		c.print("%s\n", data)
	} else {
		c.printReport(report)
	}
	if c.Verify == "" {
		return nil
	}
	return c.verify(g, report)
}

func (c *loadCommand) printReport(report *loadgenerator.Report) {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	row := command{out: table}
	row.print("work\tsent\tserved\tlate\tbroken\twrong\tfirst p50 ms\tfirst p95 ms\tp50 ms\tp99 ms\trefused\n")
	for _, t := range report.Summaries {
		row.print("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", t.Name, t.Sent, t.Served, t.PastDeadline, t.Incomplete, t.Incorrect,
			t.FirstTokenMs["p50"], t.FirstTokenMs["p95"], t.LatencyMs["p50"], t.LatencyMs["p99"], formatCounts(t.Refused))
	}
	_ = table.Flush() // write errors, such as of a closed pipe, are ignored
	c.print("%.1f s\n", report.Seconds)
}

func formatCounts(counts map[string]int) string {
	var fields []string
	for name, count := range counts {
		fields = append(fields, fmt.Sprintf("%s %d", name, count))
	}
	slices.Sort(fields)
	return strings.Join(fields, ", ")
}

// verify compares the report with the accounts of the fleet and prints the
// problems and the result.
func (c *loadCommand) verify(g *loadgenerator.Generator, report *loadgenerator.Report) error {
	client, err := c.loadFleet()
	if err != nil {
		return err
	}
	v, err := g.Verify(c.ctx, report, client)
	if err != nil {
		return err
	}
	for i, problem := range v.Problems {
		if i == maxProblemsShown {
			c.print("and %d more\n", len(v.Problems)-i)
			break
		}
		c.print("problem: %s\n", problem)
	}
	result := "ok"
	if len(v.Problems) > 0 || v.Overspend > 0 || v.Served == 0 {
		result = "FAILED"
	}
	c.print("%s: %d served, %d billed, %d refused, overspend %d, %s\n", c.Verify, v.Served, v.Billed, v.Refused, v.Overspend, result)
	if result != "ok" {
		return errors.New("verification against the accounts of the fleet failed")
	}
	return nil
}
