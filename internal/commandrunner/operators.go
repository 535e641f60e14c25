package commandrunner

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/configurer"
	"radishshed.example/radishshed/internal/operator"
	"radishshed.example/radishshed/pkg/state/archiver"
)

const keyBytes = 24

type fleetOption struct {
	Fleet string `short:"f" long:"fleet" default:"fleet.json" value-name:"FILE" description:"JSON file with the addresses of the fleet"`
	JSON  bool   `long:"json" description:"print JSON"`
}

func (o fleetOption) loadFleet() (*operator.Client, error) {
	client, err := operator.LoadClient(o.Fleet)
	if err != nil {
		return nil, usageError{err}
	}
	return client, nil
}

type keyCommand struct{ command }

// Execute implements flags.Commander.
func (c *keyCommand) Execute([]string) error {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // never fails, as documented by crypto/rand
	text := hex.EncodeToString(secret)
	c.print("%s\n%s\n", text, archiver.FormatHash(archiver.HashKey(text)))
	return nil
}

type checkCommand struct {
	command
	Args struct {
		Kind string `positional-arg-name:"KIND" description:"router, control or ticket" choice:"router" choice:"control" choice:"ticket"`
		File string `positional-arg-name:"FILE" description:"the file to check"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	var err error
	switch c.Args.Kind {
	case "router":
		_, err = configurer.Load(c.Args.File, configurer.Router{})
	case "control":
		_, err = configurer.Load(c.Args.File, configurer.Control{})
	default:
		err = checkTicket(c.Args.File)
	}
	if err != nil {
		return usageError{err}
	}
	c.print("%s: ok\n", c.Args.File)
	return nil
}

func checkTicket(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "ticket")
	}
	_, err = archiver.Decode(data)
	return errors.Wrap(err, path)
}

type submitCommand struct {
	command
	fleetOption
	Args struct {
		File string `positional-arg-name:"FILE" description:"the ticket"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return usageError{errors.Wrap(err, "ticket")}
	}
	if _, err := archiver.Decode(data); err != nil {
		return usageError{errors.Wrap(err, c.Args.File)}
	}
	return c.requestAndPrint(c.fleetOption, http.MethodPost, "/tickets", data, func(body []byte) error {
		var w struct {
			Outcome string `json:"outcome"`
			Number  uint64 `json:"number"`
			Hash    string `json:"hash"`
		}
		if err := json.Unmarshal(body, &w); err != nil {
			return errors.Wrap(err, "decode the response")
		}
		c.print("ticket %d %s, %s\n", w.Number, w.Outcome, w.Hash)
		return nil
	})
}

type showCommand struct {
	command
	fleetOption
	Args struct {
		Number uint64 `positional-arg-name:"NUMBER" description:"the ticket's number"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	return c.requestAndPrint(c.fleetOption, http.MethodGet, "/tickets/"+strconv.FormatUint(c.Args.Number, 10), nil, nil)
}

type listCommand struct {
	command
	fleetOption
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	return c.requestAndPrint(c.fleetOption, http.MethodGet, "/tickets", nil, func(body []byte) error {
		var w struct {
			Tickets []struct {
				Number  uint64 `json:"number"`
				Hash    string `json:"hash"`
				Comment string `json:"comment"`
			} `json:"tickets"`
		}
		if err := json.Unmarshal(body, &w); err != nil {
			return errors.Wrap(err, "decode the response")
		}
		for _, t := range w.Tickets {
			c.print("%d\t%s\t%s\n", t.Number, t.Hash, t.Comment)
		}
		return nil
	})
}

// requestAndPrint sends a request to the leader and prints the response. If JSON
// is requested or printBody is nil, it prints the body unchanged.
func (c command) requestAndPrint(o fleetOption, method, path string, body []byte, printBody func([]byte) error) error {
	client, err := o.loadFleet()
	if err != nil {
		return err
	}
	response, err := client.SendToLeader(c.ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := response.Err(); err != nil {
		return err
	}
	if o.JSON || printBody == nil {
		c.print("%s", response.Body())
		return nil
	}
	return printBody(response.Body())
}

type accountCommand struct {
	command
	fleetOption
	Args struct {
		Organisation string `positional-arg-name:"ORGANISATION" description:"name of the organisation"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *accountCommand) Execute([]string) error {
	path := "/accounts/" + url.PathEscape(c.Args.Organisation)
	return c.requestAndPrint(c.fleetOption, http.MethodGet, path, nil, func(body []byte) error {
		var w operator.Statements
		if err := json.Unmarshal(body, &w); err != nil {
			return errors.Wrap(err, "decode the response")
		}
		for _, s := range w.Statements {
			c.printStatement(s)
		}
		return nil
	})
}

func (c *accountCommand) printStatement(s operator.Statement) {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	row := command{out: table}
	row.print("account %s, all amounts in microcredits\n", s.Account)
	row.print("time\trequest\tservice\twork\ttarget\tprompt tokens\tgenerated tokens\tbasis\tamount\n")
	row.print("\tbrought forward\t\t\t\t\t\t\t%d\n", s.BroughtForward)
	sum := s.BroughtForward
	for _, charge := range s.Charges {
		sum += charge.AmountMicrocredits
		row.print("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%d\n", charge.At.Format(time.RFC3339), charge.Request,
			charge.Service, charge.Work, charge.Target, charge.PromptTokens, charge.CompletionTokens,
			charge.Basis, charge.AmountMicrocredits)
	}
	row.print("\tsum of the lines\t\t\t\t\t\t\t%d\n", sum)
	_ = table.Flush() // write errors, such as of a closed pipe, are ignored
	for _, h := range s.Holdings {
		state := ""
		if h.Retired {
			state = ", ended: not yet proved unspent"
		}
		c.print("%s holds %d%s\n", h.Router, h.Unspent, state)
	}
	c.print("prepaid %d = charged %d + reserved %d + held by routers %d + free %d\n\n",
		s.Prepaid, s.Charged, s.Reserved, s.Unspent, s.Free)
}

type statusCommand struct {
	command
	fleetOption
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.loadFleet()
	if err != nil {
		return err
	}
	failed := 0
	for _, address := range client.Addresses() {
		response, err := client.Send(c.ctx, address, http.MethodGet, "/status", nil)
		if err == nil {
			err = response.Err()
		}
		if err != nil {
			failed++
			c.print("%s: %v\n", address, err)
			continue
		}
		c.printStatus(address, response.Body())
	}
	if failed > 0 {
		return errors.Errorf("%d processes did not respond or returned an error", failed)
	}
	return nil
}

func (c *statusCommand) printStatus(address string, body []byte) {
	var w struct {
		VM         string   `json:"vm"`
		DataCentre string   `json:"dataCentre"`
		Role       string   `json:"role"`
		Term       uint64   `json:"term"`
		Ticket     uint64   `json:"ticket"`
		Voters     []string `json:"voters"`
		Learners   []string `json:"learners"`
		Peers      []string `json:"peers"`
		Entries    []string `json:"entries"`
		Evacuated  []string `json:"evacuated"`
	}
	if c.JSON || json.Unmarshal(body, &w) != nil {
		c.print("%s", body)
		return
	}
	c.print("%s: %s %s in %s, ticket %d, %d links, %d entries", address, w.Role, w.VM, w.DataCentre, w.Ticket, len(w.Peers), len(w.Entries))
	if len(w.Voters) > 0 {
		c.print(", term %d, voters %s", w.Term, strings.Join(w.Voters, " "))
	}
	if len(w.Learners) > 0 {
		c.print(", learners %s", strings.Join(w.Learners, " "))
	}
	if len(w.Evacuated) > 0 {
		c.print(", evacuated %s", strings.Join(w.Evacuated, " "))
	}
	c.print("\n")
}

type timelineCommand struct {
	command
	fleetOption
	Request      string        `long:"request" description:"only events of this request"`
	Organisation string        `long:"organisation" description:"only events of this organisation"`
	Since        time.Duration `long:"since" default:"10m" description:"only events of the last period of this length, by each VM's own clock"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	client, err := c.loadFleet()
	if err != nil {
		return err
	}
	query := url.Values{}
	query.Set("request", c.Request)
	query.Set("organisation", c.Organisation)
	query.Set("since", time.Now().Add(-c.Since).Format(time.RFC3339Nano))
	var events []operator.Event
	for _, address := range client.Addresses() {
		response, err := client.Send(c.ctx, address, http.MethodGet, "/timeline?"+query.Encode(), nil)
		if err == nil {
			err = response.Err()
		}
		if err != nil {
			c.print("%s: %v\n", address, err)
			continue
		}
		var w operator.Timeline
		if err := json.Unmarshal(response.Body(), &w); err != nil {
			return errors.Wrap(err, address)
		}
		events = append(events, w.Events...)
	}
	slices.SortStableFunc(events, func(a, b operator.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.VM, b.VM))
	})
	return c.printEvents(events)
}

func (c *timelineCommand) printEvents(events []operator.Event) error {
	if c.JSON {
		data, err := json.MarshalIndent(operator.Timeline{Events: events}, "", "  ")
		c.print("%s\n", data)
		return errors.Wrap(err, "encode")
	}
	for _, e := range events {
		c.print("%d\t%s\t%s\t%s\t%s\t%s\t%s\n",
			e.Stamp, e.At.Format(time.RFC3339Nano), e.VM, e.Name, e.Request, e.Organisation, e.Detail)
	}
	return nil
}
