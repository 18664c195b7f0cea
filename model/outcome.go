package model

// Outcome tells a caller what happened to its request. It is the value of
// the Filberthold-Outcome header.
type Outcome string

const (
	// Served means that the whole response of the upstream was returned.
	Served Outcome = "served"
	// NotRun is final: the idempotency key never ran and never will.
	NotRun Outcome = "notRun"
	// NotSent means that nothing that this attempt sent was started. It says
	// nothing about other attempts; a retry with the same key is safe.
	NotSent Outcome = "notSent"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Pending means that another attempt with the same key is in progress.
	Pending Outcome = "pending"
)
