package model

// Outcome is the result of a request for its caller. It is the value of the
// Filberthold-Outcome header.
type Outcome string

const (
	// Served means that the complete response of the upstream was returned.
	Served Outcome = "served"
	// NotRun means that the request of the idempotency key has not run and never
	// will. It is final.
	NotRun Outcome = "notRun"
	// NotSent means that this attempt did not start the request at any upstream.
	// Another attempt may have started it. A repeat of the key is safe.
	NotSent Outcome = "notSent"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Pending means that another attempt with the same key is in progress.
	Pending Outcome = "pending"
)
