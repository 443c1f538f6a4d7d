package simwire

import (
	"encoding/json"
	"strings"
	"testing"
)

const setupJSON = `{"az":"a","groupSize":2,"index":0,"customers":[{"name":"t","quotaRps":5,"fraction":1}],"overShareWorth":0.05,
"domain":{"groups":true,"messageAimS":[0.1],"mode":"proxy","parkS":0,"tellsDelay":true,"tenantQuotaConnections":[7],"new":{"x":1}},
"invariants":{"answerSlackS":0.02,"askWithinS":10,"coldShare":0.3,"fallMultiple":4,"fallS":1,"rampTimeS":8.8,"stopSendingWithinS":0.5},
"loadReport":{"fields":["x0","errors_per_s","brand_new"],"via":"on_probe"},"membershipMode":"on_request",
"policyLimits":{"sendCap":5,"mayProbe":true,"mayCancel":true,"mayTell":false,"retryAfter":false,"maxRetryAfterS":0,"connectTimeoutS":0.1,"secondCopies":false},"roundS":0.005,
"profiles":[{"aimS":0.3,"giveUpS":1.8,"idempotency":"safe","dedupScope":"all","dedupWindowS":1,"name":"c","value":1}],
"tariffs":{"probe":0.002,"crossZone":0,"lateFail":0,"moves":0,"peer":0,"waste":0},"weightSource":"nominal","worthBy":"request"}`

func enlist(seq string) string {
	flat := strings.ReplaceAll(setupJSON, "\n", "")
	return `{"tsS":1,"seq":` + seq + `,"inbox":[{"op":"Enlist","nodeId":"node_0","nonce64":7,"setup":` + flat + `},
{"op":"Registry","nodeId":"node_0","form":"warm_copy","gen":1,"members":[{"host":"h:1","regionPart":"a","shape":"k","pod":0,"status":"live","heft":1},{"host":"h:2","regionPart":"a","shape":"k","pod":0,"status":"live"}]}]}`
}

func TestBatchesBecomeReplies(t *testing.T) {
	h := NewHost()
	got, err := h.Handle([]byte(`{"tsS":0.5,"seq":0,"inbox":[]}`))
	if err != nil || string(got) != "{\"seq\":0,\"steps\":[]}\n" {
		t.Fatalf("empty batch: %q, %v", got, err)
	}
	if got, err = h.Handle([]byte(enlist("1"))); err != nil || !strings.Contains(string(got), `"op":"Follow","nodeId":"node_0","active":true`) {
		t.Fatalf("enlist: %s, %v", got, err)
	}
	got, err = h.Handle([]byte(`{"tsS":1.1,"seq":2,"unknown":1,"inbox":[{"op":"Inbound","nodeId":"node_0","opId":"b915ebcf5d3a91c4","lane":"c","owner":"t","expiresInS":1.8,"estimateS":0.01,"options":1,"group":4050608788307276,"later":true}]}`))
	if err != nil || !strings.Contains(string(got), `"op":"Ping"`) {
		t.Fatalf("request: %s, %v", got, err)
	}
	var out struct{ Steps []map[string]any }
	if err := json.Unmarshal(got, &out); err != nil {
		t.Fatal(err)
	}
	host := ""
	for _, s := range out.Steps {
		if s["op"] == "Ping" {
			host = s["host"].(string)
		}
	}
	got, err = h.Handle([]byte(`{"tsS":1.11,"seq":3,"inbox":[{"op":"Checked","nodeId":"node_0","host":"` + host + `","rc":"ok","rttS":0.01,"feedback":[0.2,0,1]}]}`))
	if err != nil || !strings.Contains(string(got), `"op":"Route","nodeId":"node_0","opId":"b915ebcf5d3a91c4"`) || !strings.Contains(string(got), `"capS":`) {
		t.Fatalf("route: %s, %v", got, err)
	}
	if _, err = h.Handle([]byte(`{"tsS":1.2,"seq":4,"inbox":[{"op":"Stop","nodeId":"node_0"}]}`)); err != nil {
		t.Fatal(err)
	}
	if _, err = h.Handle([]byte(enlist("5"))); err != nil {
		t.Fatalf("a second life: %v", err)
	}
}

func TestBadBatchesAreNamed(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{`{"tsS":1,"seq":3,"inbox":[`, "malformed"},
		{`[]`, "malformed"},
		{`{"tsS":1,"inbox":[]}`, "without seq"},
		{`{"seq":9,"inbox":[]}`, "batch 9: no tsS"},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"TimeoutFired","nodeId":"node_8","token":"x"}]}`, `unknown instance "node_8"`},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"TimeoutFired","nodeId":"node_0"}]}`, "token"},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"Dance","nodeId":"node_0"}]}`, "unknown op"},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"Inbound","nodeId":"node_0","opId":"a","lane":"nope","expiresInS":1}]}`, "lane"},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"Inbound","nodeId":"node_0","opId":"a","lane":"c"}]}`, "expiresInS"},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"Completed","nodeId":"node_0","opId":"a","rc":"ok"}]}`, "trial"},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"Completed","nodeId":"node_0","opId":"a","trial":0,"rc":"maybe"}]}`, "rc"},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"Registry","nodeId":"node_0","form":"partial"}]}`, "form"},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"Enlist","nodeId":"node_1","nonce64":1}]}`, "setup"},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"Enlist","nodeId":"node_1","nonce64":1,"setup":{"az":"a"}}]}`, "customers is missing"},
		{`{"tsS":2,"seq":4,"inbox":[{"op":"Stop"}]}`, "nodeId"},
	} {
		h := NewHost()
		if _, err := h.Handle([]byte(enlist("1"))); err != nil {
			t.Fatal(err)
		}
		_, err := h.Handle([]byte(c.line))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", c.line, err, c.want)
		}
	}
}
