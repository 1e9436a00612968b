package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Fingerprint identifies what is asked for: the same parts in the same order give the same one, in every process.
func Fingerprint(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(strconv.Itoa(len(part))))
		hash.Write([]byte{':'})
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}
