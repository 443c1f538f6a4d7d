package transcript

import (
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// maxExtra is how many bytes more than it shows a text with {*} may have.
const maxExtra = 256

// ending is how a connection must end, in place of a text.
type ending string

const (
	endingClose   ending = "END"
	endingReset   ending = "RESET"
	endingSilence ending = "SILENCE" // nothing comes for a moment, and the connection stays open
)

func (e ending) valid() bool { return e == endingClose || e == endingReset || e == endingSilence }

func send(connection net.Conn, text string) error {
	_, err := io.WriteString(connection, text)
	return err
}

// want reads byte by byte until a text has come, in which {*} stands for any text without quotes.
func want(connection net.Conn, text string) error {
	pattern := strings.ReplaceAll(regexp.QuoteMeta(text), `\{\*\}`, `[^'"]*`)
	wanted, err := regexp.Compile("^" + pattern + "$")
	if err != nil {
		return err
	}
	if err := connection.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		return err
	}
	var got []byte
	next := make([]byte, 1)
	for !wanted.Match(got) {
		if _, err := connection.Read(next); err != nil {
			return fmt.Errorf("came %q, then %w", got, err)
		}
		got = append(got, next[0])
		if len(got) > len(text)+maxExtra {
			return fmt.Errorf("came %q: %w", got, errTooMuchOutput)
		}
	}
	return nil
}

// wantEnding waits for the connection to end as wanted.
func wantEnding(connection net.Conn, wanted ending) error {
	timeout := waitTimeout
	if wanted == endingSilence {
		timeout = silencePeriod
	}
	if err := connection.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	var buffer [256]byte
	count, err := connection.Read(buffer[:])
	if count > 0 {
		return fmt.Errorf("came %q: %w", buffer[:count], errTooMuchOutput)
	}
	var timedOut net.Error
	switch {
	case wanted == endingClose && errors.Is(err, io.EOF):
		return nil
	case wanted == endingReset && errors.Is(err, syscall.ECONNRESET):
		return nil
	case wanted == endingSilence && errors.As(err, &timedOut) && timedOut.Timeout():
		return nil
	}
	return fmt.Errorf("came %w", err)
}
