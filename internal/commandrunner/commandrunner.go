// Package commandrunner implements the command line interface of radishshed: it
// parses the arguments and runs the commands.
package commandrunner

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error in the arguments or in a file of the operator that is
// found before a command takes effect.
type usageError struct{ error }

// command holds what all commands share.
type command struct {
	out io.Writer
	ctx context.Context
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	base := command{out: os.Stdout, ctx: ctx}
	parser := flags.NewNamedParser("radishshed", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "a router fleet for prepaid token budgets"
	if err := addCommands(parser, base); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err) // a write error cannot be reported
		return exitFailed
	}
	_, err := parser.ParseArgs(args)
	logWriter.Close()
	return printError(err)
}

// printError prints the error, if any, and returns the exit code.
func printError(err error) int {
	if err == nil {
		return exitOK
	}
	var help *flags.Error
	if errors.As(err, &help) {
		if help.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(os.Stdout, help.Message) // a write error cannot be reported
			return exitOK
		}
		_, _ = fmt.Fprintln(os.Stderr, "radishshed:", help.Message) // a write error cannot be reported
		return exitUsage
	}
	_, _ = fmt.Fprintln(os.Stderr, "radishshed:", err) // a write error cannot be reported
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// commandSpec describes one command.
type commandSpec struct {
	name, short, long string
	data              any
}

func addCommands(parser *flags.Parser, base command) error {
	specs := []commandSpec{
		{"router", "run a router", "Serves callers and targets according to the settings until SIGTERM or SIGINT. It then drains: it continues to accept requests for the period in the setting drainNotice, so that the load balancer can stop sending them, completes and charges every request, and returns its budget grants.", &routerCommand{command: base}},
		{"gateway", "run a router with routes by host and path", "Forwards requests by the routes of a platform's configuration and charges prepaid token budgets until SIGTERM or SIGINT. It then drains.", &gatewayCommand{command: base}},
		{"control", "run a control VM", "Runs a member of the replicated log that holds tickets, accounts and claims. A VM with an empty data folder joins the other members as a learner. --init initialises the data folder as that of the first member of a new fleet and exits; use it once, on one control VM.", &controlCommand{command: base}},
		{"target", "run a simulated target", "Runs a simulated model engine or plain service for tests, demonstrations and measurements.", &targetCommand{command: base}},
		{"check", "check settings or a ticket", "Reads a settings file or a ticket and reports the first error. It sends nothing over the network.", &checkCommand{command: base}},
		{"key", "generate a key", "Prints a new secret key and its hash, which goes into tickets and settings.", &keyCommand{command: base}},
		{"account", "show the account of an organisation", "Lists every charge of an organisation with the request that caused it, and the sum of all charges.", &accountCommand{command: base}},
		{"status", "show every process of the fleet", "Queries the state of every process in the fleet file.", &statusCommand{command: base}},
		{"timeline", "show the events of all processes in order", "Merges the recent events of all processes in the fleet file, in an order that is consistent with the order in which messages were sent and received.", &timelineCommand{command: base}},
		{"evacuate", "evacuate a data centre", "Orders that nothing more is sent to the targets of a data centre, or with --finish that they get requests again. Prints the evacuated data centres afterwards. The order can be repeated.", &evacuateCommand{command: base}},
		{"load", "send a mix of requests and measure the responses", "Sends the requests that a mix file describes to routers on this machine, checks every response and reports counts and latencies.", &loadCommand{command: base}},
	}
	for _, e := range specs {
		if _, err := parser.AddCommand(e.name, e.short, e.long, e.data); err != nil {
			return errors.Wrap(err, e.name)
		}
	}
	ticket, err := parser.AddCommand("ticket", "submit and show change tickets", "Submits and shows change tickets.", &struct{}{})
	if err != nil {
		return errors.Wrap(err, "ticket")
	}
	for _, e := range []commandSpec{
		{"submit", "put a ticket into force", "Submits the ticket in a file. Submission is idempotent: the same ticket can be submitted again.", &submitCommand{command: base}},
		{"show", "show a ticket and its configuration", "Shows the ticket with the given number and the whole configuration that it put into force.", &showCommand{command: base}},
		{"list", "list the tickets", "Lists all accepted tickets.", &listCommand{command: base}},
	} {
		if _, err := ticket.AddCommand(e.name, e.short, e.long, e.data); err != nil {
			return errors.Wrap(err, e.name)
		}
	}
	return nil
}

func (c command) print(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format, args...) // write errors, such as of a closed pipe, are ignored
}
