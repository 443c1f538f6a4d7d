package simwire

import (
	"math"
	"time"

	"spurwinch/choice"
)

const (
	loadUnitsPerCore = 1e6 // a load update counts millionths of a core
	millisPerSecond  = 1e3 // a delay update counts milliseconds
)

// decode converts an event of the simulator to an event of package choice. It returns nil for an update of a kind that
// this version does not know.
func (in *instance) decode(event *wireEvent) (choice.Event, error) {
	switch event.Op {
	case opServerList:
		return decodeServerList(event)
	case opRequest:
		return in.decodeRequest(event)
	case opOpenConnection:
		return in.decodeOpenConnection(event)
	case opHealthCheckResult:
		return decodeHealthCheckResult(event)
	case opEstablished:
		return decodeEstablished(event)
	case opAttemptEnded:
		return decodeAttemptEnded(event)
	case opUpdate:
		return decodeUpdate(event)
	case opClientGone:
		if event.RequestID == "" {
			return nil, missingKeyError("opId")
		}
		return choice.ClientGone{ID: choice.RequestID(event.RequestID)}, nil
	case opPeerMessage:
		return decodePeerMessage(event), nil
	case opTimerFired:
		if event.Token == "" {
			return nil, missingKeyError("token")
		}
		return choice.TimerFired{Token: event.Token}, nil
	default:
		return nil, ErrUnknownOp
	}
}

func decodeServerList(event *wireEvent) (choice.Event, error) {
	kind, ok := listKindByName[event.ListKind]
	if !ok {
		return nil, keyErrorf("form %q is unknown", event.ListKind)
	}
	list := choice.ServerList{Kind: kind}
	for _, entry := range event.Servers {
		state, ok := stateByName[entry.State]
		if !ok || entry.ID == "" {
			return nil, keyErrorf("entry %q with status %q has no host or an unknown status", entry.ID, entry.State)
		}
		size := 1.0
		if entry.Size != nil {
			size = *entry.Size
		}
		list.Servers = append(list.Servers, choice.Server{
			ID: choice.ServerID(entry.ID), Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell,
			State: state, Size: size, Started: seconds(entry.Started),
		})
	}
	return list, nil
}

func (in *instance) decodeRequest(event *wireEvent) (choice.Event, error) {
	request, err := in.decodeRequestKeys(event)
	if err != nil {
		return nil, err
	}
	if event.TimeLeft == nil {
		return nil, keyErrorf("expiresInS is missing")
	}
	return request, nil
}

func (in *instance) decodeOpenConnection(event *wireEvent) (choice.Event, error) {
	request, err := in.decodeRequestKeys(event)
	if err != nil {
		return nil, err
	}
	if event.Server == "" {
		return nil, missingKeyError("host")
	}
	return choice.OpenConnection{Request: request, Server: choice.ServerID(event.Server)}, nil
}

// decodeRequestKeys reads the keys of a request. The time left may be missing if the request's connection is already
// open.
func (in *instance) decodeRequestKeys(event *wireEvent) (choice.Request, error) {
	class, ok := in.classes[event.Class]
	if event.RequestID == "" || !ok {
		return choice.Request{}, keyErrorf("opId %q or lane %q is missing or unknown", event.RequestID, event.Class)
	}
	request := choice.Request{
		ID: choice.RequestID(event.RequestID), Class: class, Tenant: -1, Key: event.Key, Group: event.Group,
		MidFlow: event.Flags.has(flagMidFlow), Returned: event.Flags.has(flagReturned),
	}
	if tenant, ok := in.tenants[event.Tenant]; ok {
		request.Tenant = tenant
	}
	if event.TimeLeft != nil {
		request.TimeLeft = seconds(*event.TimeLeft)
	}
	if event.Flags.has(flagLoadEstimate) {
		request.Load = event.LoadEstimate
	}
	return request, nil
}

func decodeHealthCheckResult(event *wireEvent) (choice.Event, error) {
	if event.Server == "" {
		return nil, missingKeyError("host")
	}
	outcome, ok := outcomeByName[event.Outcome]
	if !ok {
		return nil, missingKeyError("rc")
	}
	return choice.HealthCheckResult{
		Server: choice.ServerID(event.Server), Outcome: outcome, Took: seconds(event.Took),
		Report: decodeReport(event.Report),
	}, nil
}

func decodeEstablished(event *wireEvent) (choice.Event, error) {
	if event.Attempt == nil || event.RequestID == "" {
		return nil, keyErrorf("opId or trial is missing")
	}
	return choice.Established{
		ID: choice.RequestID(event.RequestID), Attempt: *event.Attempt, Server: choice.ServerID(event.Server),
		Took: seconds(event.Took),
	}, nil
}

func decodeAttemptEnded(event *wireEvent) (choice.Event, error) {
	if event.Attempt == nil || event.RequestID == "" {
		return nil, keyErrorf("opId or trial is missing")
	}
	outcome, ok := outcomeByName[event.Outcome]
	if !ok {
		return nil, missingKeyError("rc")
	}
	return choice.AttemptEnded{
		ID: choice.RequestID(event.RequestID), Attempt: *event.Attempt, Server: choice.ServerID(event.Server),
		Outcome: outcome, Took: seconds(event.Took), Final: event.Final, Report: decodeReport(event.Report),
	}, nil
}

// decodeUpdate reads a load or delay update of an open request. It returns nil for a kind that this version does not
// know.
func decodeUpdate(event *wireEvent) (choice.Event, error) {
	if event.Value == nil || event.RequestID == "" {
		return nil, keyErrorf("opId or x is missing")
	}
	id := choice.RequestID(event.RequestID)
	switch event.UpdateKind {
	case updateLoad:
		update := choice.LoadUpdate{ID: id, Load: *event.Value / loadUnitsPerCore}
		if event.Attempt != nil {
			update.Attempt = *event.Attempt
		}
		return update, nil
	case updateDelay:
		return choice.DelayObservation{
			ID: id, Server: choice.ServerID(event.Server), Took: seconds(*event.Value / millisPerSecond),
		}, nil
	default:
		return nil, nil
	}
}

func decodePeerMessage(event *wireEvent) choice.Event {
	from := -1
	if event.From != nil {
		from = *event.From
	}
	return choice.PeerMessage{From: from, Data: event.Data}
}

// decodeReport returns the values of a load report, with NaN for each absent value.
func decodeReport(values []*float64) []float64 {
	if values == nil {
		return nil
	}
	report := make([]float64, len(values))
	for i, value := range values {
		report[i] = math.NaN()
		if value != nil {
			report[i] = *value
		}
	}
	return report
}

// maxSeconds is a little below the longest time.Duration, which is 9.22e9 s.
const maxSeconds = 9e9

// seconds converts a duration from the wire, rounded to the microsecond. A duration out of range becomes the longest
// positive or negative one, and NaN becomes 0.
func seconds(value float64) time.Duration {
	switch {
	case math.IsNaN(value):
		return 0
	case value > maxSeconds:
		return math.MaxInt64
	case value < -maxSeconds:
		return math.MinInt64
	}
	return time.Duration(math.Round(value*1e6)) * time.Microsecond
}
