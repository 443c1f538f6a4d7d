package simwire

import (
	"encoding/json"
	"strings"
	"testing"
)

const setupJSON = `{"az":"a","groupSize":2,"index":0,"customers":[{"name":"t","quotaRps":5,"fraction":1}],
"overShareWorth":0.05,
"domain":{"groups":true,"messageAimS":[0.1],"mode":"proxy","parkS":0,"tellsDelay":true,
"tenantQuotaConnections":[7],"new":{"x":1}},
"invariants":{"answerSlackS":0.02,"askWithinS":10,"coldShare":0.3,"fallMultiple":4,"fallS":1,
"rampTimeS":8.8,"stopSendingWithinS":0.5},
"loadReport":{"fields":["x0","errors_per_s","brand_new"],"via":"on_probe"},"membershipMode":"on_request",
"policyLimits":{"sendCap":5,"mayProbe":true,"mayCancel":true,"mayTell":false,"retryAfter":false,
"maxRetryAfterS":0,"connectTimeoutS":0.1,"secondCopies":false},"roundS":0.005,
"profiles":[{"aimS":0.3,"giveUpS":1.8,"idempotency":"safe","dedupScope":"all","dedupWindowS":1,"name":"c","value":1}],
"tariffs":{"probe":0.002,"crossZone":0,"lateFail":0,"moves":0,"peer":0,"waste":0},
"weightSource":"nominal","worthBy":"request"}`

// startBatch returns a batch with the given sequence number that starts the instance node_0 and gives it two servers.
func startBatch(sequence string) string {
	return `{"tsS":1,"seq":` + sequence + `,"inbox":[{"op":"Enlist","nodeId":"node_0","nonce64":7,"setup":` +
		strings.ReplaceAll(setupJSON, "\n", "") + `},
{"op":"Registry","nodeId":"node_0","form":"warm_copy","gen":1,"members":[
{"host":"h:1","regionPart":"a","shape":"k","pod":0,"status":"live","heft":1},
{"host":"h:2","regionPart":"a","shape":"k","pod":0,"status":"live"}]}]}`
}

// handle passes a batch to the handler, checks that the reply contains all of want, and returns the reply.
func handle(t *testing.T, handler *Handler, batch string, want ...string) string {
	t.Helper()
	got, err := handler.Handle([]byte(batch))
	if err != nil {
		t.Fatalf("Handle(%s): got error %v, want none", batch, err)
	}
	for _, part := range want {
		if !strings.Contains(string(got), part) {
			t.Fatalf("Handle(%s): got reply %s, want one that contains %s", batch, got, part)
		}
	}
	return string(got)
}

// TestHandleInstanceLifecycle starts an instance, lets it place a request, stops it and starts it again.
func TestHandleInstanceLifecycle(t *testing.T) {
	handler := NewHandler()
	const empty = "{\"seq\":0,\"steps\":[]}\n"
	if got := handle(t, handler, `{"tsS":0.5,"seq":0,"inbox":[]}`); got != empty {
		t.Fatalf("Handle of an empty batch: got reply %q, want %q", got, empty)
	}
	handle(t, handler, startBatch("1"), `"op":"Follow","nodeId":"node_0","active":true`)
	checked := handle(t, handler, `{"tsS":1.1,"seq":2,"unknown":1,"inbox":[{"op":"Inbound","nodeId":"node_0",`+
		`"opId":"b915ebcf5d3a91c4","lane":"c","owner":"t","expiresInS":1.8,"estimateS":0.01,"options":1,`+
		`"group":4050608788307276,"later":true}]}`, `"op":"Ping"`)
	handle(t, handler, `{"tsS":1.11,"seq":3,"inbox":[{"op":"Checked","nodeId":"node_0","host":"`+
		checkedServer(t, checked)+`","rc":"ok","rttS":0.01,"feedback":[0.2,0,1]}]}`,
		`"op":"Route","nodeId":"node_0","opId":"b915ebcf5d3a91c4"`, `"capS":`)
	handle(t, handler, `{"tsS":1.2,"seq":4,"inbox":[{"op":"Stop","nodeId":"node_0"}]}`)
	handle(t, handler, startBatch("5"))
}

// checkedServer returns the server of the last health check in a reply.
func checkedServer(t *testing.T, raw string) string {
	t.Helper()
	var decoded reply
	if err := json.Unmarshal([]byte(raw), &decoded); err != nil {
		t.Fatal(err)
	}
	server := ""
	for _, step := range decoded.Steps {
		if step.Op == opHealthCheck {
			server = step.Server
		}
	}
	return server
}

// TestHandleRejectsInvalidBatches checks that each fault of a batch causes a one-line error that names the fault.
func TestHandleRejectsInvalidBatches(t *testing.T) {
	for _, test := range []struct{ line, want string }{
		{`{"tsS":1,"seq":3,"inbox":[`, "malformed"},
		{`[]`, "malformed"},
		{`{"tsS":1,"inbox":[]}`, "without seq"},
		{`{"seq":9,"inbox":[]}`, "batch 9: no tsS"},
		{invalidEvent(`"op":"TimeoutFired","nodeId":"node_8","token":"x"`), `unknown instance "node_8"`},
		{invalidEvent(`"op":"TimeoutFired","nodeId":"node_0"`), "token"},
		{invalidEvent(`"op":"Dance","nodeId":"node_0"`), "unknown op"},
		{invalidEvent(`"op":"Inbound","nodeId":"node_0","opId":"a","lane":"nope","expiresInS":1`), "lane"},
		{invalidEvent(`"op":"Inbound","nodeId":"node_0","opId":"a","lane":"c"`), "expiresInS"},
		{invalidEvent(`"op":"Completed","nodeId":"node_0","opId":"a","rc":"ok"`), "trial"},
		{invalidEvent(`"op":"Completed","nodeId":"node_0","opId":"a","trial":0,"rc":"maybe"`), "rc"},
		{invalidEvent(`"op":"Registry","nodeId":"node_0","form":"partial"`), "form"},
		{invalidEvent(`"op":"Enlist","nodeId":"node_1","nonce64":1`), "setup"},
		{invalidEvent(`"op":"Enlist","nodeId":"node_1","nonce64":1,"setup":{"az":"a"}`), "customers is missing"},
		{invalidEvent(`"op":"Stop"`), "nodeId"},
	} {
		handler := NewHandler()
		handle(t, handler, startBatch("1"))
		_, err := handler.Handle([]byte(test.line))
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("Handle(%s): got error %v, want one line that contains %q", test.line, err, test.want)
		}
	}
}

// invalidEvent returns a batch with one event that has the given keys.
func invalidEvent(keys string) string { return `{"tsS":2,"seq":4,"inbox":[{` + keys + `}]}` }
