package xmppserver

import (
	"bufio"
	"crypto/tls"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// LoginMethod is the way in which a client authenticates and binds or resumes a session.
type LoginMethod int

// The login methods.
const (
	LoginPlain         LoginMethod = iota // SASL PLAIN, then resumption or bind
	LoginPlainNamed                       // the same as LoginPlain, with the user's name in the stream header
	LoginSASL2                            // SASL2 with Bind 2 or the resumption inline
	LoginSCRAM                            // SASL SCRAM-SHA-1, whose proofs nobody checks; then as LoginPlain
	LoginSASL2Separate                    // SASL2, then resumption or bind in stanzas of their own
)

const (
	streamHeaderStart = "<?xml version='1.0'?><stream:stream to='" + domain + "' "
	streamHeaderEnd   = "version='1.0' xmlns='jabber:client' xmlns:stream='" + streamNS + "'>"
	endOfFeatures     = "</stream:features>"
	enableRequest     = "<enable xmlns='" + smNS + "' resume='true'/>"
	bindRequest       = "<iq type='set' id='b1'><bind xmlns='" + bindNS + "'/></iq>"
	startTLSRequest   = "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>"
)

// ErrStream reports that the server ended the stream with a stream error.
var ErrStream = errors.New("the server sent a stream error")

// Client is a minimal XMPP client of one user.
type Client struct {
	Conn net.Conn
	// ID identifies the session that can be resumed. If it is empty, there is none.
	ID string

	reader   *bufio.Reader
	deadline time.Time
}

// Connect establishes a session before the deadline. It resumes the session with the given ID if the ID is set and the
// server still has the session, and binds a new session otherwise. resumed reports which of the two happened.
func Connect(addr, user, id string, method LoginMethod, deadline time.Time) (client *Client, resumed bool, err error) {
	client, err = dial(addr, deadline)
	if err != nil {
		return nil, false, err
	}
	resumed, err = client.logIn(user, id, method)
	return client.unlessFailed(resumed, err)
}

// Open opens a stream before the deadline, over direct TLS if config is set. The client is not authenticated yet.
func Open(addr string, config *tls.Config, deadline time.Time) (*Client, error) {
	client, err := dial(addr, deadline)
	if err != nil {
		return nil, err
	}
	if config != nil {
		err = client.secure(config, true)
	}
	if err == nil {
		_, err = client.Exchange(streamHeaderStart+streamHeaderEnd, endOfFeatures)
	}
	client, _, err = client.unlessFailed(false, err)
	return client, err
}

// Authenticate authenticates an open stream by LoginPlain. The client has no session yet: see Resume.
func (c *Client) Authenticate(user string) error {
	_, err := c.authenticate(streamHeaderStart+streamHeaderEnd, plainRequest(user), "")
	return err
}

// SetDeadline sets the time by which each further Exchange must end.
func (c *Client) SetDeadline(deadline time.Time) { c.deadline = deadline }

// Resume resumes the session with the given ID on an authenticated stream, and reports whether the server still has it.
func (c *Client) Resume(id string) (resumed bool, err error) {
	reply, err := c.Exchange(resumeRequest(id), ">")
	if err != nil {
		return false, err
	}
	if strings.Contains(reply, "<resumed") {
		c.ID = id
		return true, nil
	}
	_, err = c.Exchange("", "</failed>")
	return false, err
}

// plainCredentials returns the initial response of PLAIN for a user.
func plainCredentials(user string) string {
	return base64.StdEncoding.EncodeToString([]byte("\x00" + user + "\x00secret"))
}

// plainRequest returns the request to authenticate a user by PLAIN.
func plainRequest(user string) string {
	return "<auth xmlns='" + saslNS + "' mechanism='PLAIN'>" + plainCredentials(user) + "</auth>"
}

// ConnectPipelined is Connect by LoginPlain for a client that sends the header of its restarted stream and the request
// to resume the session at once.
func ConnectPipelined(addr, user, id string, deadline time.Time) (client *Client, resumed bool, err error) {
	client, err = Open(addr, nil, deadline)
	if err != nil {
		return nil, false, err
	}
	_, err = client.Exchange(plainRequest(user), "<success")
	if err == nil {
		_, err = client.Exchange(streamHeaderStart+streamHeaderEnd+resumeRequest(id), endOfFeatures)
	}
	if err == nil {
		_, err = client.Exchange("", "<resumed")
	}
	return client.unlessFailed(err == nil, err)
}

// ConnectTLS works like Connect but over TLS, either direct or by STARTTLS.
func ConnectTLS(
	addr, user, id string, method LoginMethod, config *tls.Config, direct bool, deadline time.Time,
) (client *Client, resumed bool, err error) {
	client, err = dial(addr, deadline)
	if err != nil {
		return nil, false, err
	}
	err = client.secure(config, direct)
	if err == nil {
		resumed, err = client.logIn(user, id, method)
	}
	return client.unlessFailed(resumed, err)
}

func dial(addr string, deadline time.Time) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReader(conn), deadline: deadline}, nil
}

// unlessFailed returns the client and resumed. If err is set, it closes the connection and returns only the error.
func (c *Client) unlessFailed(resumed bool, err error) (*Client, bool, error) {
	if err != nil {
		_ = c.Conn.Close() // err is the error to report
		return nil, false, err
	}
	return c, resumed, nil
}

// secure starts TLS on the connection, either directly or by STARTTLS.
func (c *Client) secure(config *tls.Config, direct bool) error {
	if !direct {
		if _, err := c.Exchange(streamHeaderStart+streamHeaderEnd, endOfFeatures); err != nil {
			return err
		}
		if _, err := c.Exchange(startTLSRequest, ">"); err != nil {
			return err
		}
	}
	if err := c.Conn.SetDeadline(c.deadline); err != nil {
		return err
	}
	conn := tls.Client(c.Conn, config)
	if err := conn.Handshake(); err != nil {
		return err
	}
	c.Conn = conn
	c.reader = bufio.NewReader(conn)
	return nil
}

// logIn opens the stream, authenticates and resumes the session with the given ID. If that is
// impossible, it binds a new session.
func (c *Client) logIn(user, id string, method LoginMethod) (resumed bool, err error) {
	header := streamHeaderStart + streamHeaderEnd
	if method == LoginPlainNamed {
		header = streamHeaderStart + "from='" + user + "@" + domain + "' " + streamHeaderEnd
	}
	if _, err := c.Exchange(header, endOfFeatures); err != nil {
		return false, err
	}
	done := false
	switch method {
	case LoginSASL2:
		resumed, done, err = c.authenticateInline(plainCredentials(user), id)
	case LoginSASL2Separate:
		resumed, err = c.authenticateSeparately(plainCredentials(user), id)
		done = resumed
	case LoginSCRAM:
		resumed, err = c.authenticateSCRAM(header, user, id)
		done = resumed
	case LoginPlain, LoginPlainNamed:
		resumed, err = c.authenticate(header, plainRequest(user), id)
		done = resumed
	}
	if err != nil || done {
		return resumed, err
	}
	return false, c.Bind()
}

// authenticateInline authenticates by SASL2. done reports whether a session, resumed or new, is established.
func (c *Client) authenticateInline(credentials, id string) (resumed, done bool, err error) {
	inline := "<bind xmlns='" + bind2NS + "'>" + enableRequest + "</bind>"
	if id != "" {
		inline = resumeRequest(id)
	}
	reply, err := c.Exchange("<authenticate xmlns='"+sasl2NS+"' mechanism='PLAIN'><initial-response>"+credentials+
		"</initial-response>"+inline+"</authenticate>", endOfFeatures)
	if err != nil {
		return false, false, err
	}
	if strings.Contains(reply, "<resumed") {
		c.ID = id
		return true, true, nil
	}
	c.ID = attributeValue(reply, "id")
	return false, !strings.Contains(reply, "<failed"), nil
}

// authenticateSeparately authenticates by SASL2 and then resumes the session with the given ID if the ID is set.
func (c *Client) authenticateSeparately(credentials, id string) (resumed bool, err error) {
	_, err = c.Exchange("<authenticate xmlns='"+sasl2NS+"' mechanism='PLAIN'><initial-response>"+credentials+
		"</initial-response></authenticate>", endOfFeatures)
	if err != nil || id == "" {
		return false, err
	}
	return c.Resume(id)
}

// authenticateSCRAM does what authenticate does, with the messages of SCRAM (RFC 5802).
func (c *Client) authenticateSCRAM(header, user, id string) (resumed bool, err error) {
	first := base64.StdEncoding.EncodeToString([]byte("n,,n=" + user + ",r=clientnonce"))
	request := "<auth xmlns='" + saslNS + "' mechanism='" + scramMechanism + "'>" + first + "</auth>"
	if _, err := c.Exchange(request, "</challenge>"); err != nil {
		return false, err
	}
	final := base64.StdEncoding.EncodeToString([]byte("c=biws,r=clientnonceservernonce,p=v0X8v3Bz2T0CJGbJQyF0X+HI4Ts="))
	return c.authenticate(header, "<response xmlns='"+saslNS+"'>"+final+"</response>", id)
}

// authenticate sends the request that completes SASL, opens a new stream and resumes the session with the given ID if
// the ID is set.
func (c *Client) authenticate(header, request, id string) (resumed bool, err error) {
	if _, err := c.Exchange(request, "<success"); err != nil {
		return false, err
	}
	if _, err := c.Exchange(header, endOfFeatures); err != nil {
		return false, err
	}
	if id == "" {
		return false, nil
	}
	return c.Resume(id)
}

// Bind binds a new session that can be resumed, on an authenticated stream.
func (c *Client) Bind() error {
	if _, err := c.Exchange(bindRequest, "</iq>"); err != nil {
		return err
	}
	reply, err := c.Exchange(enableRequest, ">")
	c.ID = attributeValue(reply, "id")
	return err
}

// Exchange writes a text and reads up to a tag that ends or begins with the text until. It returns the text that it has
// read, even with an error. A stream error is reported as ErrStream.
func (c *Client) Exchange(text, until string) (string, error) {
	if err := c.Conn.SetDeadline(c.deadline); err != nil {
		return "", err
	}
	if _, err := c.Conn.Write([]byte(text)); err != nil {
		return "", err
	}
	var received strings.Builder
	for {
		part, err := c.reader.ReadString('>')
		received.WriteString(part)
		if err != nil {
			return received.String(), fmt.Errorf("got %q, then: %w", received.String(), err)
		}
		if strings.Contains(part, "stream:error") {
			rest, _ := c.reader.ReadString(0) // read to the end of the connection; the error doesn't matter
			return received.String(), fmt.Errorf("%w: %s%s", ErrStream, part, rest)
		}
		if strings.HasSuffix(part, until) || strings.HasPrefix(part, until) {
			return received.String(), nil
		}
	}
}

func resumeRequest(id string) string {
	return "<resume xmlns='" + smNS + "' previd='" + id + "' h='0'/>"
}

// attributeValue returns the value of the first attribute with the given name, or "" if there is none.
func attributeValue(text, name string) string {
	_, after, found := strings.Cut(text, " "+name+"='")
	if !found {
		return ""
	}
	value, _, _ := strings.Cut(after, "'")
	return value
}
