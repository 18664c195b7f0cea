package place

// KindOf returns the short name of a decision's type for logs and metrics.
func KindOf(decision Decision) string {
	switch decision.(type) {
	case Send:
		return "send"
	case Wait:
		return "wait"
	case Refuse:
		return "refuse"
	case Deliver:
		return "deliver"
	case Cancel:
		return "cancel"
	case AskLoan:
		return "askLoan"
	case GrantLoan:
		return "grantLoan"
	case ReturnLoan:
		return "returnLoan"
	case Announce:
		return "announce"
	}
	return "other"
}
