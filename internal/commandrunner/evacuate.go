package commandrunner

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/operator"
	"radishshed.example/radishshed/pkg/state/evacuator"
	"radishshed.example/radishshed/platform"
)

// evacuateTimeout is for how long an order is repeated while no control VM acknowledges it.
const evacuateTimeout = 5 * time.Second

type evacuateCommand struct {
	command
	Control []string `long:"control" required:"true" value-name:"HOST:PORT" description:"operator address of a control VM; may be repeated, they are tried in turn"`
	Finish  bool     `long:"finish" description:"end the evacuation"`
	JSON    bool     `long:"json" description:"print JSON"`
	Args    struct {
		Zone string `positional-arg-name:"ZONE" description:"the data centre"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *evacuateCommand) Execute([]string) error {
	order := evacuator.Order(evacuator.NewBegin(c.Args.Zone))
	if c.Finish {
		order = evacuator.NewFinish(c.Args.Zone)
	}
	ctx, cancel := context.WithTimeout(c.ctx, evacuateTimeout)
	defer cancel()
	response, err := operator.NewClient(c.Control).SendToLeader(ctx, http.MethodPost, platform.EvacuationPath(order), nil)
	if err != nil {
		return err
	}
	if err := response.Err(); err != nil {
		return err
	}
	if c.JSON {
		c.print("%s", response.Body())
		return nil
	}
	var inForce platform.Evacuations
	if err := json.Unmarshal(response.Body(), &inForce); err != nil {
		return errors.Wrap(err, "decode the response")
	}
	evacuated := "none"
	if len(inForce.Evacuated) > 0 {
		evacuated = strings.Join(inForce.Evacuated, " ")
	}
	c.print("evacuated data centres: %s (revision %d)\n", evacuated, inForce.Revision)
	return nil
}
