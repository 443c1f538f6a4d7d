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

// maxExtra limits by how many bytes the received text may exceed the expected text, in which {*} counts as 3 bytes.
const maxExtra = 256

// ending is the way a connection must end. A step gives it in place of an expected text.
type ending string

const (
	endingClose   ending = "END"
	endingReset   ending = "RESET"
	endingSilence ending = "SILENCE" // no data arrives for silencePeriod, and the connection stays open
)

func (e ending) valid() bool { return e == endingClose || e == endingReset || e == endingSilence }

func send(connection net.Conn, text string) error {
	_, err := io.WriteString(connection, text)
	return err
}

// want reads byte by byte until the received text matches the expected one, in which {*} matches any text without
// quotes.
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
			return fmt.Errorf("got %q, then: %w", got, err)
		}
		got = append(got, next[0])
		if len(got) > len(text)+maxExtra {
			return fmt.Errorf("got %q: %w", got, errTooMuchOutput)
		}
	}
	return nil
}

// wantEnding waits for the connection to end in the expected way.
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
		return fmt.Errorf("got %q: %w", buffer[:count], errTooMuchOutput)
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
	return fmt.Errorf("got: %w", err)
}
