package xmppserver

import (
	"bufio"
	"crypto/tls"
	"encoding/base64"
	"fmt"
	"net"
	"strings"
	"time"
)

// How is the way a client brings its session up.
type How int

const (
	Plain How = iota // SASL PLAIN, then bind
	Named            // the same, with its name in the stream header
	SASL2            // SASL2 with Bind 2, or the resumption, inside
)

// Client is a plain client of one user.
type Client struct {
	Conn net.Conn
	in   *bufio.Reader
	by   time.Time
	ID   string // of the session that can be resumed
}

// Connect brings a session up by a time: the one of id, where one is given and its host still has it, else a new one.
// resumed tells which it was.
func Connect(addr, user, id string, how How, by time.Time) (c *Client, resumed bool, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Until(by))
	if err != nil {
		return nil, false, err
	}
	c = &Client{Conn: conn, in: bufio.NewReader(conn), by: by}
	if resumed, err = c.up(user, id, how); err != nil {
		conn.Close()
		return nil, false, err
	}
	return c, resumed, nil
}

func (c *Client) up(user, id string, how How) (resumed bool, err error) {
	from := ""
	if how == Named {
		from = "from='" + user + "@farm.example' "
	}
	header := "<?xml version='1.0'?><stream:stream to='farm.example' " + from + "version='1.0' xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>"
	secret := base64.StdEncoding.EncodeToString([]byte("\x00" + user + "\x00secret"))
	if _, err := c.Say(header, "</stream:features>"); err != nil {
		return false, err
	}
	if how == SASL2 {
		inner := "<bind xmlns='" + bind2NS + "'><enable xmlns='" + smNS + "' resume='true'/></bind>"
		if id != "" {
			inner = "<resume xmlns='" + smNS + "' previd='" + id + "' h='0'/>"
		}
		got, err := c.Say("<authenticate xmlns='"+sasl2NS+"' mechanism='PLAIN'><initial-response>"+secret+"</initial-response>"+inner+"</authenticate>", "</stream:features>")
		if err != nil {
			return false, err
		}
		if strings.Contains(got, "<resumed") {
			c.ID = id
			return true, nil
		}
		if c.ID = value(got, "id"); !strings.Contains(got, "<failed") {
			return false, nil
		}
	} else {
		if _, err := c.Say("<auth xmlns='"+saslNS+"' mechanism='PLAIN'>"+secret+"</auth>", "<success"); err != nil {
			return false, err
		}
		if _, err := c.Say(header, "</stream:features>"); err != nil {
			return false, err
		}
		if id != "" {
			got, err := c.Say("<resume xmlns='"+smNS+"' previd='"+id+"' h='0'/>", ">")
			if err != nil {
				return false, err
			}
			if strings.Contains(got, "<resumed") {
				c.ID = id
				return true, nil
			}
			if _, err := c.Say("", "</failed>"); err != nil {
				return false, err
			}
		}
	}
	if _, err := c.Say("<iq type='set' id='b1'><bind xmlns='"+bindNS+"'/></iq>", "</iq>"); err != nil {
		return false, err
	}
	got, err := c.Say("<enable xmlns='"+smNS+"' resume='true'/>", ">")
	c.ID = value(got, "id")
	return false, err
}

// ConnectTLS is Connect behind TLS, direct or by STARTTLS.
func ConnectTLS(addr, user, id string, how How, config *tls.Config, direct bool, by time.Time) (c *Client, resumed bool, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Until(by))
	if err != nil {
		return nil, false, err
	}
	c = &Client{Conn: conn, in: bufio.NewReader(conn), by: by}
	if !direct {
		_, err = c.Say("<?xml version='1.0'?><stream:stream to='farm.example' version='1.0' xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>", "</stream:features>")
		if err == nil {
			_, err = c.Say("<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>", ">")
		}
	}
	if err == nil {
		secure := tls.Client(conn, config)
		conn.SetDeadline(by)
		if err = secure.Handshake(); err == nil {
			c.Conn, c.in = secure, bufio.NewReader(secure)
			resumed, err = c.up(user, id, how)
		}
	}
	if err != nil {
		conn.Close()
		return nil, false, err
	}
	return c, resumed, nil
}

// Say writes and reads up to what must come.
func (c *Client) Say(what, until string) (string, error) {
	c.Conn.SetDeadline(c.by)
	if _, err := c.Conn.Write([]byte(what)); err != nil {
		return "", err
	}
	var got strings.Builder
	for {
		part, err := c.in.ReadString('>')
		got.WriteString(part)
		if err != nil {
			return got.String(), fmt.Errorf("%q came, %w", got.String(), err)
		}
		if strings.Contains(part, "stream:error") {
			rest, _ := c.in.ReadString(0)
			return got.String(), fmt.Errorf("the stream ended: %s%s", part, rest)
		}
		if strings.HasSuffix(part, until) || strings.HasPrefix(part, until) {
			return got.String(), nil
		}
	}
}

func value(text, name string) string {
	_, after, ok := strings.Cut(text, " "+name+"='")
	if !ok {
		return ""
	}
	v, _, _ := strings.Cut(after, "'")
	return v
}
