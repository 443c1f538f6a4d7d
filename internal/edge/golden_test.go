package edge

import (
	"encoding/hex"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"spurwinch/choice"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestGoldenConnectionState checks the encoding of an open connection that one process sends to another. Each field has
// a distinct value.
func TestGoldenConnectionState(t *testing.T) {
	want := ConnectionState{
		ID: "request-1",
		Class: choice.Class{
			Name: "class-2", Removed: true, SetupObjective: 3 * time.Second,
			Deadline: 4 * time.Second, MessageObjective: 5 * time.Second,
			Priority: 6.5, Idempotency: choice.IdempotentByKey, IdempotencyScope: choice.ScopeCell,
			IdempotencyWindow: 7 * time.Second,
		},
		Tenant: "tenant-8", Key: 9, Group: 10, UsualLoad: 11.5, CurrentLoad: 12.5, Returned: true,
		Server: choice.Server{
			ID: "host-13", Zone: "zone-14", Kind: "kind-15", Cell: 16, State: choice.Draining,
			Size: 17.5, Started: 18 * time.Second,
			SlowStartSince: 19 * time.Second,
		},
		Addr: "127.0.0.1:20",
	}
	body, err := cbor.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	const name = "testdata/connection_state.cbor.hex"
	if *update {
		if err := os.WriteFile(name, []byte(hex.EncodeToString(body)+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(body); got != strings.TrimSpace(string(text)) {
		t.Errorf("Marshal: got\n%s\nwant\n%s", got, text)
	}
	raw, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	var got ConnectionState
	if err := cbor.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("Unmarshal: got\n%+v (error %v), want\n%+v", got, err, want)
	}
	if err := got.Check(); err != nil {
		t.Errorf("Check: got error %v, want none", err)
	}
}
