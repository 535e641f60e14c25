package listener

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"radishshed.example/radishshed/internal/bodyreader"
	"radishshed.example/radishshed/internal/memorybudgeter"
)

// ReadBody reads the body of a request that a listener serves. Its memory is reserved until the
// request has been handled. After an error, the connection is closed behind the response.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	reservation := memorybudgeter.New(memorybudgeter.Config{}).Open()
	var limits *Limits
	minRate := int64(0) // the default
	if c, _ := r.Context().Value(connectionKey{}).(*trackedConnection); c != nil && c.reservation != nil {
		reservation, limits = c.body, c.drainer.limits
		minRate = limits.config.MinBodyRate
	}
	setDeadline := func(until time.Time) {
		_ = http.NewResponseController(w).SetReadDeadline(until) // not supported by some writers in tests
	}
	body, err := bodyreader.Read(bodyreader.Config{
		Source: r.Body, Length: r.ContentLength, MaxBytes: maxBytes, Reservation: reservation,
		MinBytesPerSecond: minRate, SetDeadline: setDeadline,
	})
	if err != nil {
		reservation.Release()
		w.Header().Set("Connection", "close")
		if limits != nil {
			limits.recordBody(r, err)
		}
		return nil, err
	}
	setDeadline(time.Time{})
	return body, nil
}

// BodyStatus returns the status and the reason of the response to a request whose body was not
// read for the error. Requests that are refused for a lack of memory may be sent again.
func BodyStatus(err error) (status int, reason string) {
	switch {
	case errors.Is(err, bodyreader.ErrNoMemory):
		return http.StatusServiceUnavailable, "memoryFull"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "bodyNotInTime"
	case errors.Is(err, bodyreader.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, "bodyTooLarge"
	default:
		return http.StatusBadRequest, "bodyNotRead"
	}
}
