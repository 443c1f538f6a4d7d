package choice

import (
	"encoding/binary"
	"math"
)

// The encoding of messages between nodes.
//
//	byte 0      version (high half), kind (low half)
//	bytes 1-2   token: the sender's clock in milliseconds, modulo 2^16, never twice; a reply has its request's
//	request     bytes 3-5 server, 6-7 group (both the high bits of a hash; group 0: none), 8 load
//	reply       byte 3 predicted load, 4 fraction to migrate
//
// Big-endian. Loads are in sixteenths, of a mean connection in requests and of a full server in replies, fractions in
// 255ths. Costs.PeerMessage counts bytes, so fields have no bit to spare.

const (
	messageVersion = 1
	requestBytes   = 9
	replyBytes     = 5
	loadSteps      = 16  // of a load on the wire
	fractionSteps  = 255 // of a fraction on the wire
)

// messageKind is the kind of a message.
type messageKind uint8

const (
	reservationRequest messageKind = iota + 1 // a reservation for one connection of that load
	reliefRequest                             // for a server that may be overloaded; the load is the sender's there
	groupNotice                               // a connection of that group is open there; no reply
	reservationGranted
	reservationDenied
	serverEjected // denied: it did not answer its owner's health check
)

// isReply reports whether a message of this kind has the form of a reply.
func (k messageKind) isReply() bool { return k >= reservationGranted && k <= serverEjected }

// isRequest reports whether a message of this kind has the form of a request.
func (k messageKind) isRequest() bool { return k >= reservationRequest && k < reservationGranted }

// peerMessage is a message between nodes.
type peerMessage struct {
	kind     messageKind
	token    uint16
	server   uint32 // 24 bits
	group    uint16
	load     float64 // in mean connections in a request, in full servers in a reply
	fraction float64 // of the requester's connections on the server to migrate; only in the reply to a reliefRequest
}

func (m peerMessage) encode() []byte {
	data := binary.BigEndian.AppendUint16([]byte{messageVersion<<4 | byte(m.kind)}, m.token)
	if m.kind.isReply() {
		return append(data, encodeLoad(m.load), byte(math.Round(clamp(m.fraction, 0, 1)*fractionSteps)))
	}
	data = append(data, byte(m.server>>16), byte(m.server>>8), byte(m.server))
	return append(binary.BigEndian.AppendUint16(data, m.group), encodeLoad(m.load))
}

// encodeLoad rounds a load to sixteenths; what is more than a byte has, 15.9, is sent as that.
func encodeLoad(load float64) byte { return byte(clamp(math.Round(load*loadSteps), 0, 255)) }

// decodePeerMessage reads a message; ok is false for any but a complete one of this version.
func decodePeerMessage(data []byte) (message peerMessage, ok bool) {
	if len(data) < replyBytes || data[0]>>4 != messageVersion {
		return message, false
	}
	message.kind = messageKind(data[0] & 15)
	message.token = binary.BigEndian.Uint16(data[1:])
	switch {
	case message.kind.isReply() && len(data) == replyBytes:
		message.load = float64(data[3]) / loadSteps
		message.fraction = float64(data[4]) / fractionSteps
		return message, true
	case message.kind.isRequest() && len(data) == requestBytes:
		message.server = uint32(data[3])<<16 | uint32(data[4])<<8 | uint32(data[5])
		message.group = binary.BigEndian.Uint16(data[6:])
		message.load = float64(data[8]) / loadSteps
		return message, true
	}
	return message, false
}

// serverKey is how messages name a server: the high 24 bits of the hash of its id.
func serverKey(server *serverEntry) uint32 { return uint32(server.hash >> 40) }
