// Package simwire translates between the simulator's wire protocol, one JSON object per line, and the events and
// actions of package choice. It also decodes the simulator's settings, which a node on the platform has in its
// config.json.
//
// cmd/benchlink runs a Handler behind the simulator; internal/config and the test harness use DecodeSettings. Only the
// struct tags and tables of this package contain the names that the wire protocol uses. The package makes no decisions
// of its own.
package simwire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"spurwinch/choice"
)

// Handler owns the instances of one process, each with a choice.Balancer, and answers batches of events with replies.
// Only one goroutine may use it.
type Handler struct{ instances map[string]*instance }

// instance is one node of the simulation.
type instance struct {
	balancer *choice.Balancer
	classes  map[string]int // class indices by name
	tenants  map[string]int // tenant indices by name
	events   []choice.Event // events of the current batch; if nil, the batch has none and Step is not called
}

// NewHandler returns a handler without instances.
func NewHandler() *Handler { return &Handler{instances: map[string]*instance{}} }

// Handle processes one batch, a line of JSON, and returns its reply, a line of JSON. An error names the batch and the
// event, and wraps one of this package's errors. The handler must not be used after an error.
func (h *Handler) Handle(line []byte) ([]byte, error) {
	var received batch
	if err := json.Unmarshal(line, &received); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedBatch, err)
	}
	if received.Sequence == nil {
		return nil, ErrNoSequence
	}
	if received.Time == nil {
		return nil, fmt.Errorf("batch %d: %w", *received.Sequence, ErrNoTime)
	}
	now := seconds(*received.Time)
	var order []string // instances in the order of their first event
	for i := range received.Events {
		event := &received.Events[i]
		if err := h.handleEvent(event, now, &order); err != nil {
			return nil, fmt.Errorf("batch %d: event %d (%s): %w", *received.Sequence, i, event.Op, err)
		}
	}
	line, err := encodeReply(reply{Sequence: *received.Sequence, Steps: h.stepInstances(now, order)})
	if err != nil {
		return nil, fmt.Errorf("batch %d: reply: %w", *received.Sequence, err)
	}
	return line, nil
}

// handleEvent starts or stops an instance if the event asks for that, and otherwise queues the event for its instance.
func (h *Handler) handleEvent(event *wireEvent, now time.Duration, order *[]string) error {
	if event.NodeID == "" {
		return ErrNoNode
	}
	if event.Op == opStart {
		started, err := startInstance(event, now)
		if err != nil {
			return err
		}
		h.instances[event.NodeID] = started
		*order = append(*order, event.NodeID)
		return nil
	}
	target := h.instances[event.NodeID]
	if target == nil {
		return &UnknownNodeError{NodeID: event.NodeID}
	}
	if event.Op == opStop {
		delete(h.instances, event.NodeID)
		return nil
	}
	decoded, err := target.decode(event)
	if err != nil {
		return err
	}
	if target.events == nil {
		*order = append(*order, event.NodeID)
	}
	if decoded != nil {
		target.events = append(target.events, decoded)
	}
	return nil
}

func startInstance(event *wireEvent, now time.Duration) (*instance, error) {
	seed, err := parseSeed(event.Seed)
	if err != nil {
		return nil, err
	}
	settings, err := DecodeSettings(event.Setup)
	if err != nil {
		return nil, err
	}
	balancer, err := choice.New(settings.Settings, seed, now)
	if err != nil {
		return nil, err
	}
	return &instance{
		balancer: balancer,
		classes:  settings.ClassByName,
		tenants:  settings.TenantByName,
		events:   []choice.Event{}, // not nil: the first step runs even without events
	}, nil
}

// parseSeed reads a seed of 64 bits, which may be written as a signed or an unsigned integer.
func parseSeed(raw json.RawMessage) (uint64, error) {
	if signed, err := strconv.ParseInt(string(raw), 10, 64); err == nil {
		return uint64(signed), nil
	}
	seed, err := strconv.ParseUint(string(raw), 10, 64)
	if err != nil {
		return 0, keyErrorf("nonce64 is missing or not an integer of 64 bits")
	}
	return seed, nil
}

// stepInstances passes the queued events to the instances in the given order and returns their actions.
func (h *Handler) stepInstances(now time.Duration, order []string) []wireStep {
	steps := []wireStep{}
	for _, id := range order {
		stepped := h.instances[id]
		if stepped == nil || stepped.events == nil {
			continue
		}
		for _, action := range stepped.balancer.Step(now, stepped.events) {
			steps = append(steps, encodeAction(id, action))
		}
		stepped.events = nil
	}
	return steps
}

func encodeReply(out reply) ([]byte, error) {
	var buf bytes.Buffer
	encoder := json.NewEncoder(&buf)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(out); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}
