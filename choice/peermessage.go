package choice

import (
	"encoding/binary"
	"math"
)

// Messages between nodes, as they are sent.
//
//	byte 0      version (high half), kind (low half)
//	bytes 1-2   token: the sender's clock in milliseconds, modulo 2^16, never twice; an answer has its question's
//	question    bytes 3-5 server, 6-7 group (both the high bits of a hash; group 0: none), 8 load
//	answer      byte 3 predicted load, 4 fraction to migrate
//
// Big-endian. Loads are in sixteenths, of a mean connection in questions and of a full server in answers, fractions in
// 255ths. Each byte has its price at every site that prices messages, so fields have no bit to spare.

const (
	messageVersion = 1
	questionBytes  = 9
	answerBytes    = 5
	loadSteps      = 16  // of a load on the wire
	fractionSteps  = 255 // of a fraction on the wire
)

// messageKind is the kind of a message.
type messageKind uint8

const (
	reservationRequest messageKind = iota + 1 // for a connection of that load
	reliefRequest                             // from what is more than the server bears; the load is the sender's there
	groupNotice                               // a connection of that group is open there; no answer
	reservationGranted
	reservationDenied
	serverEjected // it does not answer its owner
)

// isAnswer says which of the two forms a message of this kind has.
func (k messageKind) isAnswer() bool { return k >= reservationGranted && k <= serverEjected }

func (k messageKind) isQuestion() bool { return k >= reservationRequest && k < reservationGranted }

// peerMessage is a message between nodes.
type peerMessage struct {
	kind     messageKind
	token    uint16
	server   uint32 // 24 bits
	group    uint16
	load     float64
	fraction float64
}

func (m peerMessage) encode() []byte {
	data := binary.BigEndian.AppendUint16([]byte{messageVersion<<4 | byte(m.kind)}, m.token)
	if m.kind.isAnswer() {
		return append(data, encodeLoad(m.load), byte(math.Round(clamp(m.fraction, 0, 1)*fractionSteps)))
	}
	data = append(data, byte(m.server>>16), byte(m.server>>8), byte(m.server))
	return append(binary.BigEndian.AppendUint16(data, m.group), encodeLoad(m.load))
}

func encodeLoad(load float64) byte { return byte(clamp(math.Round(load*loadSteps), 0, 255)) }

// decodePeerMessage reads a message; ok is false for any but a complete one of this version.
func decodePeerMessage(data []byte) (message peerMessage, ok bool) {
	if len(data) < answerBytes || data[0]>>4 != messageVersion {
		return message, false
	}
	message.kind = messageKind(data[0] & 15)
	message.token = binary.BigEndian.Uint16(data[1:])
	switch {
	case message.kind.isAnswer() && len(data) == answerBytes:
		message.load = float64(data[3]) / loadSteps
		message.fraction = float64(data[4]) / fractionSteps
		return message, true
	case message.kind.isQuestion() && len(data) == questionBytes:
		message.server = uint32(data[3])<<16 | uint32(data[4])<<8 | uint32(data[5])
		message.group = binary.BigEndian.Uint16(data[6:])
		message.load = float64(data[8]) / loadSteps
		return message, true
	}
	return message, false
}

// serverKey is how messages name a server.
func serverKey(server *serverEntry) uint32 { return uint32(server.hash >> 40) }
