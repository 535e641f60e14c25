// Package commander is the command line.
package commander

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
	exitOK      = 0
	exitFailed  = 1
	exitMistake = 2
)

// mistake is an error of the operator, found before anything was done.
type mistake struct{ error }

// command is what all commands have in common.
type command struct {
	out io.Writer
	ctx context.Context
}

// Run runs the command line and returns the exit code.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	base := command{out: os.Stdout, ctx: ctx}
	parser := flags.NewNamedParser("radishshed", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "a router fleet for prepaid token budgets"
	if err := addCommands(parser, base); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err) // nothing else can be done
		return exitFailed
	}
	_, err := parser.ParseArgs(args)
	logWriter.Close()
	return report(err)
}

func report(err error) int {
	if err == nil {
		return exitOK
	}
	var help *flags.Error
	if errors.As(err, &help) {
		if help.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(os.Stdout, help.Message) // nothing else can be done
			return exitOK
		}
		_, _ = fmt.Fprintln(os.Stderr, "radishshed:", help.Message) // as above
		return exitMistake
	}
	_, _ = fmt.Fprintln(os.Stderr, "radishshed:", err) // as above
	var wrong mistake
	if errors.As(err, &wrong) {
		return exitMistake
	}
	return exitFailed
}

// entry describes one command.
type entry struct {
	name, short, long string
	data              any
}

func addCommands(parser *flags.Parser, base command) error {
	entries := []entry{
		{"router", "run the router of an entry VM", "Serves callers and targets as the settings say, until SIGTERM; then drains: serves on until the balancer has noticed, finishes every request, bills it and returns its budget grants.", &routerCommand{command: base}},
		{"gateway", "run a router with routes by host and path", "Passes requests on by the routes of a platform's configuration and draws on prepaid token budgets, until SIGTERM; then drains.", &gatewayCommand{command: base}},
		{"control", "run a control VM", "Runs a member of the replicated log that holds tickets, accounts and claims. A VM with an empty data folder joins the others as a learner. --init makes the data folder that of the first member of a new fleet and exits; use it once, on one control VM.", &controlCommand{command: base}},
		{"target", "run a stand-in target", "Runs a stand-in for a model engine or a plain service, for tests, demonstrations and measurements.", &targetCommand{command: base}},
		{"check", "check settings or a ticket", "Reads a settings file or a ticket and reports the first mistake. Nothing is sent anywhere.", &checkCommand{command: base}},
		{"key", "make a key", "Prints a new secret and the hash that tickets and settings carry for it.", &keyCommand{command: base}},
		{"account", "show the account of an organisation", "Lists every charge of an organisation with what it was for, and adds them up.", &accountCommand{command: base}},
		{"status", "show every process of the fleet", "Asks every process that the fleet file names for its state.", &statusCommand{command: base}},
		{"timeline", "show the events of all processes in order", "Merges the recent events of all processes that the fleet file names, in an order that respects the order of messages.", &timelineCommand{command: base}},
		{"load", "send a mix of requests and measure", "Sends the requests that a mix file describes to routers on this machine, checks every answer and reports counts and times.", &loadCommand{command: base}},
	}
	for _, e := range entries {
		if _, err := parser.AddCommand(e.name, e.short, e.long, e.data); err != nil {
			return errors.Wrap(err, e.name)
		}
	}
	ticket, err := parser.AddCommand("ticket", "submit and show change tickets", "Submits and shows change tickets.", &struct{}{})
	if err != nil {
		return errors.Wrap(err, "ticket")
	}
	for _, e := range []entry{
		{"submit", "put a ticket into force", "Submits the ticket in a file. Submitting the same ticket again changes nothing.", &submitCommand{command: base}},
		{"show", "show a ticket and what was in force with it", "Shows the ticket with a number, and everything that was in force from it on.", &showCommand{command: base}},
		{"list", "list the tickets", "Lists all tickets that were accepted.", &listCommand{command: base}},
	} {
		if _, err := ticket.AddCommand(e.name, e.short, e.long, e.data); err != nil {
			return errors.Wrap(err, e.name)
		}
	}
	return nil
}

func (c command) print(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format, args...) // nothing can be done about a closed output
}
