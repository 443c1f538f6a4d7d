//go:build review

package main

import (
	"bufio"
	"crypto/tls"
	"encoding/base64"
	"fmt"
	"net"
	"strings"
	"time"
)

// xmppClient is a client of one user, over direct TLS (XEP-0368) or in the clear.
type xmppClient struct {
	addr, user string
	useTLS     bool

	conn    net.Conn
	reader  *bufio.Reader
	id      string // of the session that can be resumed
	host    string // name of the host that greeted it last
	resumed bool
}

// exchange writes text and reads up to the end of a tag that ends with until.
func (c *xmppClient) exchange(text, until string, limit time.Duration) (string, error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if text != "" {
		if _, err := c.conn.Write([]byte(text)); err != nil {
			return "", err
		}
	}
	var received strings.Builder
	for {
		part, err := c.reader.ReadString('>')
		received.WriteString(part)
		if err != nil {
			return received.String(), fmt.Errorf("%w after %q", err, received.String())
		}
		if strings.Contains(received.String(), "stream:error") && until != "</stream:stream>" {
			rest, _ := c.reader.ReadString(0)
			return received.String() + rest, fmt.Errorf("stream error: %s%s", received.String(), rest)
		}
		if strings.HasSuffix(received.String(), until) {
			return received.String(), nil
		}
	}
}

// connect sets up a session: it resumes the one of c.id if there is one and its host still has it, and binds a new one
// otherwise.
func (c *xmppClient) connect() error {
	conn, err := net.DialTimeout("tcp", c.addr, 5*time.Second)
	if err != nil {
		return err
	}
	c.conn = conn
	if c.useTLS {
		c.conn = tls.Client(conn, &tls.Config{
			ServerName: xmppName, InsecureSkipVerify: true, NextProtos: []string{"xmpp-client"}, //nolint:gosec // stand-in
		})
	}
	c.reader = bufio.NewReader(c.conn)
	const limit = 10 * time.Second
	header := "<?xml version='1.0'?><stream:stream to='" + xmppName + "' version='1.0' xmlns='" + nsClient +
		"' xmlns:stream='" + nsStream + "'>"
	if _, err := c.exchange(header, "</stream:features>", limit); err != nil {
		return err
	}
	credentials := base64.StdEncoding.EncodeToString([]byte("\x00" + c.user + "\x00secret"))
	auth := "<auth xmlns='" + nsSASL + "' mechanism='PLAIN'>" + credentials + "</auth>"
	if _, err := c.exchange(auth, "<success xmlns='"+nsSASL+"'/>", limit); err != nil {
		return err
	}
	greeting, err := c.exchange(header, "</stream:features>", limit)
	if err != nil {
		return err
	}
	c.host = attribute(greeting, "id")
	c.resumed = false
	if c.id != "" {
		reply, err := c.exchange("<resume xmlns='"+nsSM+"' previd='"+c.id+"' h='0'/>", ">", limit)
		if err != nil {
			return err
		}
		if strings.HasPrefix(strings.TrimSpace(reply), "<resumed") {
			c.resumed = true
			return nil
		}
		if _, err := c.exchange("", "</failed>", limit); err != nil {
			return err
		}
	}
	bind := "<iq type='set' id='b1'><bind xmlns='" + nsBind + "'/></iq>"
	if _, err := c.exchange(bind, "</iq>", limit); err != nil {
		return err
	}
	reply, err := c.exchange("<enable xmlns='"+nsSM+"' resume='true'/>", ">", limit)
	if err != nil {
		return err
	}
	c.id = attribute(reply, "id")
	return nil
}

// breakOff ends the connection without ending the stream, as a lost link does.
func (c *xmppClient) breakOff() { _ = c.conn.Close() }

func attribute(text, name string) string {
	_, after, _ := strings.Cut(text, " "+name+"='")
	value, _, _ := strings.Cut(after, "'")
	return value
}
