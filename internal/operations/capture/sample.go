package capture

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"math"
)

// maxSkipped bounds the requests whose end is awaited to be left out.
const maxSkipped = 1 << 17

// What a pseudonym is of, so that a client and a group of the same number differ.
const (
	domainClient = 'c'
	domainGroup  = 'g'
)

// sampler replaces clients and groups by pseudonyms and chooses the share of them that is written.
type sampler struct {
	key     []byte
	limit   uint64          // pseudonyms up to this one are in the share
	skipped map[uint64]bool // open connections that are not in it, by the number of their request
	mac     []byte          // reused
}

func newSampler(key []byte, share float64) sampler {
	limit := uint64(math.MaxUint64)
	if share < 1 {
		limit = uint64(share * math.MaxUint64)
	}
	return sampler{key: key, limit: limit, skipped: map[uint64]bool{}}
}

// takeRequest replaces the client and the group of a request, and reports whether it is in the share. Whole groups are
// in or out, since their members share work.
func (s *sampler) takeRequest(request *Placed) bool {
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
	if len(s.skipped) >= maxSkipped { // ends that were dropped would fill it in time
		clear(s.skipped)
	}
	s.skipped[sequence] = true
}

// takeEnd reports whether the end of a connection is in the share, as its request was.
func (s *sampler) takeEnd(sequence uint64) bool {
	if !s.skipped[sequence] {
		return true
	}
	delete(s.skipped, sequence)
	return false
}

// pseudonym is the truncated HMAC of an id, never 0; the id 0, which stands for none, stays.
func (s *sampler) pseudonym(domain byte, id uint64) uint64 {
	if id == 0 {
		return 0
	}
	var message [9]byte
	message[0] = domain
	binary.BigEndian.PutUint64(message[1:], id)
	hash := hmac.New(sha256.New, s.key)
	_, _ = hash.Write(message[:]) // a hash gives no error
	s.mac = hash.Sum(s.mac[:0])
	return max(1, binary.BigEndian.Uint64(s.mac))
}
