package revise

// CheckResult tells what became of an offered revision.
type CheckResult string

const (
	// Adopted means that the offered revision is now the current one.
	Adopted CheckResult = "adopted"
	// Stale means that the number is not higher than the current one.
	Stale CheckResult = "stale"
	// Corrupt means that the body does not match the digest.
	Corrupt CheckResult = "corrupt"
	// Conflicting means that the current revision has the same number and
	// another digest. One of the two did not come from the store.
	Conflicting CheckResult = "contradicts"
)

// Tracker holds the revision that a host has in force. It is not safe for
// concurrent use. The zero value holds no revision.
type Tracker struct {
	// current only ever changes to a head with a higher number, and body
	// always matches it.
	current RevisionID
	body    []byte
	// announced is the highest head that the store or a peer has named.
	announced RevisionID
}

// Check tells what Adopt would do, without a change.
func (t *Tracker) Check(head RevisionID, body []byte) CheckResult {
	if head.number == t.current.number && head.digest != t.current.digest {
		return Conflicting
	}
	if head.number <= t.current.number {
		return Stale
	}
	if !head.Matches(body) {
		return Corrupt
	}
	return Adopted
}

// Adopt adopts a revision if its number is higher than the current one and its
// body matches the digest.
func (t *Tracker) Adopt(head RevisionID, body []byte) CheckResult {
	verdict := t.Check(head, body)
	if verdict == Adopted {
		t.current, t.body = head, body
	}
	return verdict
}

// SetAnnounced notes that a revision exists, without its body.
func (t *Tracker) SetAnnounced(head RevisionID) {
	if head.number > t.announced.number {
		t.announced = head
	}
}

// ClearAnnounced forgets an announced revision whose body nobody has, so that a lower
// one that does exist can be fetched.
func (t *Tracker) ClearAnnounced(head RevisionID) {
	if t.announced == head {
		t.announced = RevisionID{}
	}
}

// MissingBody returns the announced revision whose body is missing. It reports false
// if the current revision is the highest known.
func (t *Tracker) MissingBody() (RevisionID, bool) {
	return t.announced, t.announced.number > t.current.number
}

// Current returns the revision in force, or the zero head.
func (t *Tracker) Current() RevisionID { return t.current }

// Body returns the body of the revision in force. It must not be changed.
func (t *Tracker) Body() []byte { return t.body }
