package node

import (
	"net/http"
	"strings"
	"testing"

	"spurwinch/internal/lab/transcript"
)

// TestAdminReportsCloseReasons opens one connection that is served and one with a line that can't be parsed. The admin
// server must report why both were closed, and that no invariant was violated.
func TestAdminReportsCloseReasons(t *testing.T) {
	program, addr := startSmallNode(t, reservedDescriptors+80)
	player := &transcript.Player{Address: addr, Values: map[string]string{}}
	player.Play(t,
		"c open\nc > OPEN 1 01 c=chat,d=4000\nc < UP 1\nc end\ne open\ne > NONSENSE\ne < ERR\ne < END\n")
	var body string
	transcript.WaitFor(t, "the admin server reports why both connections were closed", func() bool {
		var status int
		status, body = transcript.AdminRequest(program.adminAddr.String(), "/api/reasons")
		return status == http.StatusOK && strings.Contains(body, "gw.closed.client_ended:1|c\n") &&
			strings.Contains(body, "gw.closed.client_broke_protocol:1|c\n")
	})
	for _, want := range []string{
		"gw.checked.start:1|c\n", "gw.checked.send:1|c\n", "gw.checked.repeat:0|c\n", "gw.checked.close:2|c\n",
		"gw.broken.unanswered:0|c\n",
	} {
		if !strings.Contains(body, want) {
			t.Errorf("/api/reasons: want the line %q, got\n%s", want, body)
		}
	}
}
