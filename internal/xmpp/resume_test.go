package xmpp

import (
	"encoding/base64"
	"testing"
)

// TestUserOf reads who a client says it is; what can't be read names nobody.
func TestUserOf(t *testing.T) {
	say := func(s string) []byte { return []byte(base64.StdEncoding.EncodeToString([]byte(s))) }
	for _, c := range []struct{ mechanism, says, user string }{
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
		if got := userOf(c.mechanism, say(c.says)); got != c.user {
			t.Errorf("%s %q: %q", c.mechanism, c.says, got)
		}
	}
	if userOf("PLAIN", []byte("no base64!")) != "" || userOf("PLAIN", say("\x00"+string(make([]byte, mostID+1))+"\x00x")) != "" {
		t.Error("a user out of nothing")
	}
	for jid, want := range map[string]string{"Ana@farm.example/x": "ana", "ana@FARM.example": "ana", "ana@other.example": "", "farm.example": "", "": ""} {
		if got := localPart(jid, "farm.example"); got != want {
			t.Errorf("%s: %q", jid, got)
		}
	}
}
