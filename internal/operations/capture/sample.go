package capture

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"math"
)

// maxSkipped limits the open connections outside the share that the sampler remembers in order to skip their ends.
const maxSkipped = 1 << 17

// Domains of pseudonyms. They give a client and a group with the same id different pseudonyms.
const (
	domainClient = 'c'
	domainGroup  = 'g'
)

// sampler replaces the ids of clients and groups by pseudonyms and chooses the share of them that is written.
type sampler struct {
	key     []byte
	limit   uint64          // pseudonyms up to this value are in the share
	skipped map[uint64]bool // open connections outside the share, by the Seq of their request
	mac     []byte          // buffer, reused for each pseudonym
}

func newSampler(key []byte, share float64) sampler {
	limit := uint64(math.MaxUint64)
	if share < 1 {
		limit = uint64(share * math.MaxUint64)
	}
	return sampler{key: key, limit: limit, skipped: map[uint64]bool{}}
}

// sampleRequest replaces the client and the group of a request by pseudonyms, and reports whether the request is in the
// share. It includes or skips whole groups, because the members of a group share work.
func (s *sampler) sampleRequest(request *Placed) bool {
	request.Client = s.pseudonym(domainClient, request.Client)
	request.Group = s.pseudonym(domainGroup, request.Group)
	sampled := request.Group
	if sampled == 0 {
		sampled = request.Client
	}
	if sampled <= s.limit {
		return true
	}
	if request.Answer == Open {
		s.skip(request.Seq)
	}
	return false
}

func (s *sampler) skip(sequence uint64) {
	if len(s.skipped) >= maxSkipped { // dropped ends of connections would fill the map over time
		clear(s.skipped)
	}
	s.skipped[sequence] = true
}

// sampleEnd reports whether the end of a connection is in the share, which is the case if its request was.
func (s *sampler) sampleEnd(sequence uint64) bool {
	if !s.skipped[sequence] {
		return true
	}
	delete(s.skipped, sequence)
	return false
}

// pseudonym returns the truncated HMAC of an id, which is never 0. It keeps the id 0, which means that there is no id.
func (s *sampler) pseudonym(domain byte, id uint64) uint64 {
	if id == 0 {
		return 0
	}
	var message [9]byte
	message[0] = domain
	binary.BigEndian.PutUint64(message[1:], id)
	hash := hmac.New(sha256.New, s.key)
	_, _ = hash.Write(message[:]) // writing to a hash never fails
	s.mac = hash.Sum(s.mac[:0])
	return max(1, binary.BigEndian.Uint64(s.mac))
}
