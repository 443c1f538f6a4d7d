package xmpp

import (
	"encoding/base64"
	"testing"
)

func encode(response string) []byte {
	return []byte(base64.StdEncoding.EncodeToString([]byte(response)))
}

// TestUserOf reads the user's name out of initial responses, and of JIDs; where it can't be read it is empty.
func TestUserOf(t *testing.T) {
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
		if got := userOf(test.mechanism, encode(test.response)); got != test.user {
			t.Errorf("userOf(%s, %q) = %q, wanted %q", test.mechanism, test.response, got, test.user)
		}
	}
	if got := userOf("PLAIN", []byte("no base64!")); got != "" {
		t.Errorf("a response that is no base64 gave the user %q, wanted none", got)
	}
	tooLong := "\x00" + string(make([]byte, maxNameBytes+1)) + "\x00x"
	if got := userOf("PLAIN", encode(tooLong)); got != "" {
		t.Errorf("a name that is too long gave a user of %d bytes, wanted none", len(got))
	}
	for jid, want := range map[string]string{
		"Ana@farm.example/x": "ana",
		"ana@FARM.example":   "ana",
		"ana@other.example":  "",
		"farm.example":       "",
		"":                   "",
	} {
		if got := localPart(jid, "farm.example"); got != want {
			t.Errorf("localPart(%q) = %q, wanted %q", jid, got, want)
		}
	}
}
