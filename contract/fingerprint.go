package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"
)

// Fingerprint returns the hexadecimal SHA-256 hash of parts. Each part is hashed with its length in front, so the
// result depends on the parts and on their order, and is the same in every process.
func Fingerprint(parts ...string) string { return hashParts(parts).sum() }

// FingerprintWithBody is Fingerprint with a body as the last part.
func FingerprintWithBody(body []byte, parts ...string) string {
	hash := hashParts(parts)
	hash.add(body)
	return hash.sum()
}

// fingerprintHash hashes parts so that different lists of parts differ.
type fingerprintHash struct{ hash.Hash }

func hashParts(parts []string) fingerprintHash {
	h := fingerprintHash{sha256.New()}
	for _, part := range parts {
		h.add([]byte(part))
	}
	return h
}

func (h fingerprintHash) add(part []byte) {
	h.Write([]byte(strconv.Itoa(len(part))))
	h.Write([]byte{':'})
	h.Write(part)
}

func (h fingerprintHash) sum() string { return hex.EncodeToString(h.Sum(nil)) }

// ShortFingerprint returns the first 8 bytes of a fingerprint. Among the requests of a few seconds the probability
// that two of them share a short fingerprint by chance is less than one in a billion.
func ShortFingerprint(fingerprint string) uint64 {
	short, err := strconv.ParseUint(fingerprint[:min(16, len(fingerprint))], 16, 64)
	if err != nil {
		return 0 // not made by Fingerprint; 0 means no fingerprint
	}
	return short
}
