package downstream

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/platform/line"
)

const (
	openLineWords  = 4                // OPEN, the id, the key and the list of fields
	maxIDBytes     = 64               // length of a request's id
	maxQuotedBytes = 24               // length of the part of an invalid value that an error quotes
	maxDeadline    = time.Hour        // a larger field d is reduced to this
	maxLoad        = 1e9              // a larger field h is rejected
	openAtDeadline = 39 * time.Second // for a connection opened before the node started; it counts as lost after 40 s
	unknownTenant  = -1
)

// Errors in a first line.
var (
	errNotOpen      = errors.New("first line must be PING, or OPEN with an id, a key and fields")
	errID           = errors.New("id of OPEN must be 1 to 64 bytes long")
	errInvalidField = errors.New("OPEN must have at most 32 fields of the form name=value, with unique names")
	errKey          = errors.New("key of OPEN must be a hexadecimal 64-bit number")
	errUnknownClass = errors.New("field c of OPEN must name a known class")
	errGroup        = errors.New("field g of OPEN must be a hexadecimal 64-bit number")
	errLoad         = errors.New("field h of OPEN must be a number between 0 and 1e9")
	errDeadline     = errors.New("field d of OPEN must be between 0 and 4294967295 milliseconds")
)

// fieldList is the list "name=value,name=value" of an OPEN line.
type fieldList []byte

// value returns the value of a field, and whether the line has that field.
func (l fieldList) value(name string) (string, bool) {
	from, to := line.FindField(l, name)
	if from < 0 {
		return "", false
	}
	return string(l[from:to]), true
}

// parseOpenLine parses an OPEN line without its CRLF.
func (f *Front) parseOpenLine(text []byte) (edge.Spec, error) {
	words := bytes.Split(text, []byte(" "))
	if len(words) != openLineWords || string(words[0]) != "OPEN" {
		return edge.Spec{}, errNotOpen
	}
	id, key, fields := words[1], words[2], fieldList(words[3])
	if len(id) == 0 || len(id) > maxIDBytes {
		return edge.Spec{}, errID
	}
	if line.InvalidField(fields) != "" {
		return edge.Spec{}, errInvalidField
	}
	number, err := strconv.ParseUint(string(key), 16, 64)
	if err != nil {
		return edge.Spec{}, errKey
	}
	spec := edge.Spec{ID: choice.RequestID(id), Key: number}
	if err := f.parseFields(fields, &spec); err != nil {
		return edge.Spec{}, err
	}
	return spec, nil
}

// parseFields parses the fields of an OPEN line into spec.
func (f *Front) parseFields(fields fieldList, spec *edge.Spec) error {
	className, _ := fields.value("c")
	class, known := f.class(className)
	if !known {
		return errUnknownClass
	}
	spec.Class = class
	spec.Tenant = f.tenant(fields)
	var err error
	if text, ok := fields.value("g"); ok {
		if spec.Group, err = strconv.ParseUint(text, 16, 64); err != nil {
			return errGroup
		}
	}
	if text, ok := fields.value("h"); ok {
		if spec.Load, err = parseLoad(text); err != nil {
			return err
		}
	}
	if again, _ := fields.value("again"); again == "1" {
		spec.Returned = true
	}
	openAt, hasOpenAt := fields.value("at")
	timeLeft, err := f.parseDeadline(fields, class, hasOpenAt)
	if err != nil {
		return err
	}
	if openAt != "" {
		spec.OpenAt = choice.ServerID(openAt)
		timeLeft = openAtDeadline
	}
	spec.Deadline = f.loop.Now().Add(timeLeft)
	return nil
}

// tenant returns the index of the tenant that the fields name, or unknownTenant.
func (f *Front) tenant(fields fieldList) int {
	if name, ok := fields.value("t"); ok {
		if index, known := f.tenants[name]; known {
			return index
		}
	}
	return unknownTenant
}

// parseLoad parses field h, the expected load.
func parseLoad(text string) (float64, error) {
	load, ok := line.ParseNumber(text)
	if !ok || load > maxLoad {
		return 0, errLoad
	}
	return load, nil
}

// parseDeadline returns how long the client waits: its field d in milliseconds, or the deadline of its class. A server
// replies ERR to a field d that it can't parse. Such a line is rejected here, because the reply would look like the
// server's failure. Clients whose connections were open before the node started (hasOpenAt) send a field d far beyond
// any real deadline, which is valid.
func (f *Front) parseDeadline(fields fieldList, class int, hasOpenAt bool) (time.Duration, error) {
	text, given := fields.value("d")
	if !given {
		return f.classTable[class].Deadline, nil
	}
	milliseconds, ok := line.ParseNumber(text)
	if !ok || !hasOpenAt && milliseconds > math.MaxUint32 {
		return 0, fmt.Errorf("%w, got %s", errDeadline, strconv.QuoteToASCII(text[:min(len(text), maxQuotedBytes)]))
	}
	return time.Duration(min(milliseconds, float64(maxDeadline.Milliseconds())) * float64(time.Millisecond)), nil
}
