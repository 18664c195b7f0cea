package revise

// Verdict tells what became of an offered revision.
type Verdict string

const (
	// Adopted means that the offered revision is now the current one.
	Adopted Verdict = "adopted"
	// Stale means that the number is not higher than the current one.
	Stale Verdict = "stale"
	// Corrupt means that the body does not match the digest.
	Corrupt Verdict = "corrupt"
	// Contradicts means that the current revision has the same number and
	// another digest. One of the two did not come from the store.
	Contradicts Verdict = "contradicts"
)

// Holder holds the revision that a host has in force. It is not safe for
// concurrent use. The zero value holds no revision.
type Holder struct {
	// current only ever changes to a head with a higher number, and body
	// always matches it.
	current Head
	body    []byte
	// announced is the highest head that the store or a peer has named.
	announced Head
}

// Judge tells what Offer would do, without a change.
func (h *Holder) Judge(head Head, body []byte) Verdict {
	if head.number == h.current.number && head.digest != h.current.digest {
		return Contradicts
	}
	if head.number <= h.current.number {
		return Stale
	}
	if !head.Matches(body) {
		return Corrupt
	}
	return Adopted
}

// Offer adopts a revision if its number is higher than the current one and its
// body matches the digest.
func (h *Holder) Offer(head Head, body []byte) Verdict {
	verdict := h.Judge(head, body)
	if verdict == Adopted {
		h.current, h.body = head, body
	}
	return verdict
}

// Announce notes that a revision exists, without its body.
func (h *Holder) Announce(head Head) {
	if head.number > h.announced.number {
		h.announced = head
	}
}

// Withdraw forgets an announced revision whose body nobody has, so that a lower
// one that does exist can be fetched.
func (h *Holder) Withdraw(head Head) {
	if h.announced == head {
		h.announced = Head{}
	}
}

// Needs returns the announced revision whose body is missing. It reports false
// if the current revision is the highest known.
func (h *Holder) Needs() (Head, bool) {
	return h.announced, h.announced.number > h.current.number
}

// Current returns the revision in force, or the zero head.
func (h *Holder) Current() Head { return h.current }

// Body returns the body of the revision in force. It must not be changed.
func (h *Holder) Body() []byte { return h.body }
