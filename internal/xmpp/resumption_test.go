package xmpp

import (
	"encoding/base64"
	"testing"
)

func encodeBase64(response string) []byte {
	return []byte(base64.StdEncoding.EncodeToString([]byte(response)))
}

// TestUserNameOfInitialResponseAndJID checks that the user name is read from initial responses and from JIDs, and that
// it is empty if it can't be read.
func TestUserNameOfInitialResponseAndJID(t *testing.T) {
	for _, test := range []struct{ mechanism, response, user string }{
		{"PLAIN", "\x00Ana\x00secret", "ana"},
		{"PLAIN", "root@farm.example\x00ana\x00secret", "ana"},
		{"PLAIN", "ana", ""},
		{"SCRAM-SHA-1", "n,,n=ana,r=fyko+d2lbbFgONRv9qkxdawL", "ana"},
		{"SCRAM-SHA-256-PLUS", "p=tls-exporter,,n=a=2Cn=3Da,r=x", "a,n=a"},
		{"SCRAM-SHA-1", "y,a=admin,n=ana,r=x", "ana"},
		{"SCRAM-SHA-1", "n,,r=x", ""},
		{"EXTERNAL", "ana", ""},
		{"", "", ""},
	} {
		if got := saslUser(test.mechanism, encodeBase64(test.response)); got != test.user {
			t.Errorf("saslUser(%s, %q): got %q, want %q", test.mechanism, test.response, got, test.user)
		}
	}
	if got := saslUser("PLAIN", []byte("no base64!")); got != "" {
		t.Errorf("saslUser of a response with invalid base64: got user %q, want none", got)
	}
	tooLong := "\x00" + string(make([]byte, maxNameBytes+1)) + "\x00x"
	if got := saslUser("PLAIN", encodeBase64(tooLong)); got != "" {
		t.Errorf("saslUser of a name that is too long: got a user of %d bytes, want none", len(got))
	}
	for jid, want := range map[string]string{
		"Ana@farm.example/x": "ana",
		"ana@FARM.example":   "ana",
		"ana@other.example":  "",
		"farm.example":       "",
		"":                   "",
	} {
		if got := localPart(jid, "farm.example"); got != want {
			t.Errorf("localPart(%q): got %q, want %q", jid, got, want)
		}
	}
}
