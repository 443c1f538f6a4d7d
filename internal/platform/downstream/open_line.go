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
	openLineWords    = 4                // OPEN, the id, the key and the list of fields
	maxIDBytes       = 64               // of a request's id
	maxQuotedBytes   = 24               // of a value that an error quotes
	maxDeadline      = time.Hour        // a longer d counts as this
	maxLoad          = 1e9              // an h above it is rejected
	standingDeadline = 39 * time.Second // for a connection open before the run; it counts as lost after 40 s
	unknownTenant    = -1
)

// What is wrong with a first line.
var (
	errNotOpen      = errors.New("a first line that is neither OPEN nor PING")
	errID           = errors.New("an OPEN without an id, or with one that is too long")
	errInvalidField = errors.New("an OPEN that names a field twice or gives it no value")
	errKey          = errors.New("an OPEN whose key is not a number")
	errUnknownClass = errors.New("an OPEN of an unknown class")
	errGroup        = errors.New("an OPEN whose g is not a number")
	errLoad         = errors.New("an OPEN whose h is not a load")
	errDeadline     = errors.New("an OPEN whose d is not a time")
)

// fieldList is the "name=value,name=value" of an OPEN line.
type fieldList []byte

// value is a field's value; false: the line doesn't have the field.
func (l fieldList) value(name string) (string, bool) {
	from, to := line.FindField(l, name)
	if from < 0 {
		return "", false
	}
	return string(l[from:to]), true
}

// parseOpenLine reads an OPEN line without its CRLF. The error says what is wrong with it.
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

// parseFields reads the fields of an OPEN line into spec.
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
	openAt, standing := fields.value("at")
	timeLeft, err := f.parseDeadline(fields, class, standing)
	if err != nil {
		return err
	}
	if openAt != "" {
		spec.OpenAt = choice.ServerID(openAt)
		timeLeft = standingDeadline
	}
	spec.Deadline = f.loop.Now().Add(timeLeft)
	return nil
}

// tenant is the index of the tenant that the fields name.
func (f *Front) tenant(fields fieldList) int {
	if name, ok := fields.value("t"); ok {
		if index, known := f.tenants[name]; known {
			return index
		}
	}
	return unknownTenant
}

// parseLoad reads an h.
func parseLoad(text string) (float64, error) {
	load, ok := line.ParseNumber(text)
	if !ok || load > maxLoad {
		return 0, errLoad
	}
	return load, nil
}

// parseDeadline reads how long the client waits: its d in milliseconds, or the deadline of its class. A server answers
// a d that it can't read with ERR; such a line is rejected here, or it would look like the server's failure.
// Connections open before the run come with a d far beyond any real deadline.
func (f *Front) parseDeadline(fields fieldList, class int, standing bool) (time.Duration, error) {
	text, given := fields.value("d")
	if !given {
		return f.classTable[class].Deadline, nil
	}
	milliseconds, ok := line.ParseNumber(text)
	if !ok || !standing && milliseconds > math.MaxUint32 {
		return 0, fmt.Errorf("%w: %s", errDeadline, strconv.QuoteToASCII(text[:min(len(text), maxQuotedBytes)]))
	}
	return time.Duration(min(milliseconds, float64(maxDeadline.Milliseconds())) * float64(time.Millisecond)), nil
}
