package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/loop"
)

const (
	// maxPathBytes keeps a path within a Unix socket's address, which holds 107 bytes: while the socket is made, its
	// name has a process number behind it.
	maxPathBytes        = 90
	maxGrantDescriptors = 16
	connectRetryPause   = 5 * time.Millisecond
)

// Path returns the path of the Unix socket by which processes of the node that listens at an address connect to each
// other. It is empty where there can be none: without a directory, with a port that the system chooses, or with a name
// too long.
func Path(dir, listen string) string {
	if dir == "" || strings.HasSuffix(listen, ":0") {
		return ""
	}
	name := strings.NewReplacer(":", "-", "[", "", "]", "").Replace(listen)
	path := filepath.Join(dir, "spurwinch-"+name+".sock")
	if len(path) > maxPathBytes {
		return ""
	}
	return path
}

// RequestGrant asks the running process for a grant. It blocks, until the deadline at the most, so it is called before
// the event loop runs. After an error the process starts as the only one of its node.
func RequestGrant(path string, deadline time.Time) (*Grant, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	client := handshake{fd: fd, deadline: deadline}
	grant, err := client.run(path)
	if err != nil {
		_ = unix.Close(fd) // the descriptor is gone either way
	}
	return grant, err
}

// handshake is the successor's side of the link until the grant is there, with blocking calls.
type handshake struct {
	fd       int
	deadline time.Time
}

func (h handshake) run(path string) (*Grant, error) {
	if err := h.setTimeout(unix.SO_SNDTIMEO); err != nil {
		return nil, err
	}
	if err := h.connect(path); err != nil {
		return nil, os.NewSyscallError("connect", err)
	}
	hello := message{Kind: kindHello, Version: protocolVersion, TransferForm: transferForm}
	if err := h.send(hello.encode()); err != nil {
		return nil, os.NewSyscallError("send", err)
	}
	received, descriptors, err := h.receiveLine()
	if err != nil {
		loop.CloseAll(descriptors)
		return nil, err
	}
	line, unread, _ := bytes.Cut(received, []byte("\n"))
	grant, err := parseGrant(line, descriptors)
	if err != nil {
		loop.CloseAll(descriptors)
		return nil, err
	}
	grant.fd = h.fd
	grant.unread = unread
	return grant, nil
}

// setTimeout has the next calls of a kind (a socket option) end by the deadline.
func (h handshake) setTimeout(option int) error {
	left := time.Until(h.deadline)
	if left <= 0 {
		return ErrAnswerTimeout
	}
	timeout := unix.NsecToTimeval(max(left, time.Millisecond).Nanoseconds()) // 0 would be no timeout at all
	return unix.SetsockoptTimeval(h.fd, unix.SOL_SOCKET, option, &timeout)
}

// connect tries again where a signal interrupts it, or where the queue of the running process is full for a moment.
func (h handshake) connect(path string) error {
	for {
		err := unix.Connect(h.fd, &unix.SockaddrUnix{Name: path})
		passing := errors.Is(err, unix.EINTR) || errors.Is(err, unix.EAGAIN)
		if !passing || time.Now().After(h.deadline) {
			return err
		}
		time.Sleep(connectRetryPause)
	}
}

// send sends all of data, however much the kernel takes at once.
func (h handshake) send(data []byte) error {
	for len(data) > 0 {
		sent, err := unix.SendmsgN(h.fd, data, nil, nil, unix.MSG_NOSIGNAL)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return err
		}
		data = data[max(sent, 0):]
	}
	return nil
}

// receiveLine returns the bytes that it receives until there is a complete line, and the descriptors that were received
// with them, also beside an error.
func (h handshake) receiveLine() (received []byte, descriptors []int, err error) {
	buffer := make([]byte, 16<<10)
	control := make([]byte, unix.CmsgSpace(4*maxGrantDescriptors))
	for bytes.IndexByte(received, '\n') < 0 {
		if err := h.setTimeout(unix.SO_RCVTIMEO); err != nil {
			return nil, descriptors, err
		}
		size, controlSize, _, _, err := unix.Recvmsg(h.fd, buffer, control, unix.MSG_CMSG_CLOEXEC)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return nil, descriptors, ErrAnswerTimeout
		case err != nil:
			return nil, descriptors, os.NewSyscallError("recvmsg", err)
		}
		descriptors = append(descriptors, loop.ReceivedDescriptors(control[:controlSize])...)
		received = append(received, buffer[:size]...)
		if size == 0 || len(received) > maxGrantBytes {
			return nil, descriptors, fmt.Errorf("%w: it ends or goes on without the end of a line", ErrInvalidGrant)
		}
	}
	return received, descriptors, nil
}
