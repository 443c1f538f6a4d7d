package choice

import (
	"encoding/binary"
	"math"
)

// The encoding of messages between nodes.
//
//	byte 0      version (high half), kind (low half)
//	bytes 1-2   token: sender's clock in milliseconds, modulo 2^16, unique; a reply has the token of its request
//	request     bytes 3-5 server, 6-7 group (both the high bits of a hash; group 0: none), 8 load
//	reply       byte 3 predicted load, 4 fraction to migrate
//
// Numbers are big-endian. Loads are in sixteenths of a mean connection in requests, and in sixteenths of a full server
// in replies. Fractions are in 255ths. Fields are as small as possible, since messages have a cost per byte
// (Costs.PeerMessage).

const (
	messageVersion = 1
	requestBytes   = 9
	replyBytes     = 5
	loadSteps      = 16  // encoded value of a load of 1
	fractionSteps  = 255 // encoded value of a fraction of 1
)

// messageKind is the kind of a message.
type messageKind uint8

const (
	reservationRequest messageKind = iota + 1 // requests a reservation for one connection of the given load
	reliefRequest                             // for a server that may be overloaded; load is the sender's load there
	groupNotice                               // a connection of the group is open on the server; gets no reply
	reservationGranted
	reservationDenied
	serverEjected // denied; the owner ejected the server, for example after a health check without an answer
)

// isReply reports whether messages of this kind use the reply format.
func (k messageKind) isReply() bool { return k >= reservationGranted && k <= serverEjected }

// isRequest reports whether messages of this kind use the request format.
func (k messageKind) isRequest() bool { return k >= reservationRequest && k < reservationGranted }

// peerMessage is a message between nodes.
type peerMessage struct {
	kind     messageKind
	token    uint16
	server   uint32 // 24 bits
	group    uint16
	load     float64 // in mean connections in a request, in full servers in a reply
	fraction float64 // part of the requester's connections on the server to migrate; only in a reply to a reliefRequest
}

func (m peerMessage) encode() []byte {
	data := binary.BigEndian.AppendUint16([]byte{messageVersion<<4 | byte(m.kind)}, m.token)
	if m.kind.isReply() {
		return append(data, encodeLoad(m.load), byte(math.Round(clamp(m.fraction, 0, 1)*fractionSteps)))
	}
	data = append(data, byte(m.server>>16), byte(m.server>>8), byte(m.server))
	return append(binary.BigEndian.AppendUint16(data, m.group), encodeLoad(m.load))
}

// encodeLoad rounds a load to sixteenths. A load above the largest value of a byte, 15.9, is sent as that value.
func encodeLoad(load float64) byte { return byte(clamp(math.Round(load*loadSteps), 0, 255)) }

// decodePeerMessage decodes a message. ok is false unless the message is complete and of this version.
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

// serverKey returns the key that identifies a server in messages: the high 24 bits of the hash of its ID.
func serverKey(server *serverEntry) uint32 { return uint32(server.hash >> 40) }
