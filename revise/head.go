// Package revise decides which revision of the configuration is in force: how
// a host adopts one and how an operator's change is accepted.
package revise

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"filberthold/store"
)

// HeadKey is the key of the table row that contains the newest accepted
// revision.
const HeadKey = "config/head"

// Digest is the SHA-256 of a revision's body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// String returns the digest in hexadecimal form.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// RevisionID identifies a revision by its number and the digest of its body.
// The zero value means that there is no revision.
type RevisionID struct {
	number uint64
	digest Digest
}

// NewRevisionID returns the ID for a number and a digest.
func NewRevisionID(number uint64, digest Digest) RevisionID {
	return RevisionID{number: number, digest: digest}
}

// RevisionIDOf returns the ID for a number and a body.
func RevisionIDOf(number uint64, body []byte) RevisionID {
	return NewRevisionID(number, DigestOf(body))
}

// Number returns the number of the revision.
func (r RevisionID) Number() uint64 { return r.number }

// Digest returns the digest of the revision's body.
func (r RevisionID) Digest() Digest { return r.digest }

// Matches reports whether the body has the digest of the revision.
func (r RevisionID) Matches(body []byte) bool { return r.digest == DigestOf(body) }

// String returns the number and the first 12 hexadecimal digits of the digest,
// such as 2@fe670e709b6d.
func (r RevisionID) String() string {
	return strconv.FormatUint(r.number, 10) + "@" + r.digest.String()[:12]
}

type headDocument struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// Encode returns the JSON form that is stored in table rows.
func (r RevisionID) Encode() []byte {
	text, err := json.Marshal(headDocument{Revision: r.number, Digest: r.digest.String()})
	if err != nil {
		panic(fmt.Sprintf("encode head: %v", err)) // A number and a string always encode.
	}
	return text
}

// ParseRevisionID decodes the value of a row that Encode has encoded.
func ParseRevisionID(value []byte) (RevisionID, error) {
	var document headDocument
	if err := json.Unmarshal(value, &document); err != nil {
		return RevisionID{}, fmt.Errorf("decode head: %w", err)
	}
	digest, err := hex.DecodeString(document.Digest)
	if err != nil {
		return RevisionID{}, fmt.Errorf("decode digest of head: %w", err)
	}
	if len(digest) != sha256.Size || document.Revision == 0 {
		return RevisionID{}, fmt.Errorf("head has revision %d and a digest of %d bytes", document.Revision, len(digest))
	}
	return NewRevisionID(document.Revision, Digest(digest)), nil
}

// ObjectName returns the name of the object that holds a revision's body.
func ObjectName(number uint64) string { return "config/" + strconv.FormatUint(number, 10) }

// acceptedKey returns the key of the row that records an accepted revision. The
// row is written together with the head row, so that an operator whose response
// was lost can read the outcome even after the head has changed again.
func acceptedKey(number uint64) string { return "config/accepted/" + strconv.FormatUint(number, 10) }

// acceptanceWrites returns the transaction that accepts a revision.
func acceptanceWrites(headVersion uint64, id RevisionID) []store.Write {
	return []store.Write{
		{Key: HeadKey, IfVersion: headVersion, Value: id.Encode()},
		{Key: acceptedKey(id.number), Value: id.Encode()},
	}
}
