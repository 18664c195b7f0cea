package revise

// CheckResult is the result of checking a revision against the current one.
type CheckResult string

const (
	// Adopted means that the revision becomes the current one.
	Adopted CheckResult = "adopted"
	// Stale means that the number is not higher than the current one.
	Stale CheckResult = "stale"
	// Corrupt means that the body does not match the digest.
	Corrupt CheckResult = "corrupt"
	// Conflicting means that the current revision has the same number and
	// another digest. One of the two did not come from the store.
	Conflicting CheckResult = "contradicts"
)

// Tracker holds the revision that a host has in force, and the highest one that
// has been announced. It is not safe for concurrent use. The zero value holds
// no revision.
type Tracker struct {
	// current only changes to a revision with a higher number. body always
	// matches it.
	current RevisionID
	body    []byte
	// announced is the highest revision that the store or a peer has reported.
	announced RevisionID
}

// Check returns the result that Adopt would return, without a change.
func (t *Tracker) Check(id RevisionID, body []byte) CheckResult {
	if id.number == t.current.number && id.digest != t.current.digest {
		return Conflicting
	}
	if id.number <= t.current.number {
		return Stale
	}
	if !id.Matches(body) {
		return Corrupt
	}
	return Adopted
}

// Adopt adopts a revision if its number is higher than the current one and its
// body matches the digest.
func (t *Tracker) Adopt(id RevisionID, body []byte) CheckResult {
	result := t.Check(id, body)
	if result == Adopted {
		t.current, t.body = id, body
	}
	return result
}

// SetAnnounced records that a revision exists. Its body may not be available
// yet. It does nothing if a higher revision has been announced.
func (t *Tracker) SetAnnounced(id RevisionID) {
	if id.number > t.announced.number {
		t.announced = id
	}
}

// ClearAnnounced removes an announced revision whose body is not available, so
// that the body of a lower revision can be fetched.
func (t *Tracker) ClearAnnounced(id RevisionID) {
	if t.announced == id {
		t.announced = RevisionID{}
	}
}

// MissingBody returns the announced revision whose body has to be fetched. It
// reports false if the current revision is at least as high.
func (t *Tracker) MissingBody() (RevisionID, bool) {
	return t.announced, t.announced.number > t.current.number
}

// Current returns the revision in force, or the zero ID.
func (t *Tracker) Current() RevisionID { return t.current }

// Body returns the body of the revision in force. It must not be changed.
func (t *Tracker) Body() []byte { return t.body }
