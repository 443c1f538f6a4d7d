package fleetclient

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"spurwinch/internal/failover/agent"
)

// TestReadMessage checks the encoding of a message on the connection, and the errors if a reply is missing, truncated
// or too long.
func TestReadMessage(t *testing.T) {
	var framed bytes.Buffer
	if err := writeMessage(&framed, []byte("reply")); err != nil {
		t.Fatal(err)
	}
	if want := "\x00\x00\x00\x05reply"; framed.String() != want {
		t.Fatalf("writeMessage: got %q, want %q", framed.String(), want)
	}
	whole := framed.Bytes()
	if got, err := readMessage(bytes.NewReader(whole), "node-1"); err != nil || string(got) != "reply" {
		t.Errorf("readMessage: got %q and error %v, want %q", got, err, "reply")
	}
	_, err := readMessage(bytes.NewReader(nil), "node-1")
	const noAnswer = "node-1 gives no answer (another key, or another list of nodes?): EOF"
	if !errors.Is(err, ErrNoAnswer) || !errors.Is(err, io.EOF) || err.Error() != noAnswer {
		t.Errorf("readMessage without a reply: got error %v, want %s", err, noAnswer)
	}
	if _, err := readMessage(bytes.NewReader(whole[:len(whole)-1]), "node-1"); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("readMessage of a truncated reply: got error %v, want %v", err, io.ErrUnexpectedEOF)
	}
	_, err = readMessage(bytes.NewReader(binary.BigEndian.AppendUint32(nil, agent.MaxMessage+1)), "node-1")
	var size *ReplySizeError
	if !errors.As(err, &size) || size.Node != "node-1" || size.Bytes != agent.MaxMessage+1 {
		t.Errorf("readMessage of a reply that is too long: got error %v, want a ReplySizeError of %d bytes",
			err, agent.MaxMessage+1)
	}
}
