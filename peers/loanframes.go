package peers

import (
	"errors"
	"fmt"
	"time"

	"filberthold/model"
	"filberthold/share"
)

const (
	// maxLoanDuration bounds the duration of a loan in a frame. Owners grant
	// shorter loans.
	maxLoanDuration = time.Minute
	// maxSlotIndex bounds the index of a slot.
	maxSlotIndex = 1 << 16
	// maxReleases bounds the releases of a frame; a host sends several frames
	// when it has more.
	maxReleases = 512
)

// LoanRequest requests a loan of a slot of an endpoint from the receiver.
type LoanRequest struct {
	// Number is chosen by the sender and repeated in the grant.
	Number   uint64             `cbor:"number"`
	Endpoint model.EndpointName `cbor:"endpoint"`
	Duration time.Duration      `cbor:"duration"`
}

// LoanGrant grants a requested loan. There is no frame for a request that is
// not granted.
type LoanGrant struct {
	Number uint64     `cbor:"number"`
	Loan   share.Loan `cbor:"loan"`
}

// LoanReturn returns a loan to its owner before the loan expires.
type LoanReturn struct {
	Loan share.LoanID `cbor:"loan"`
}

// Releases carries releases of one host to all others. Each host forwards it
// once.
type Releases struct {
	Host model.HostName `cbor:"host"`
	// Number is unique among the frames of the host and increases.
	Number   uint64          `cbor:"number"`
	Releases []share.Release `cbor:"releases"`
}

func (LoanRequest) kind() string { return "loanRequest" }
func (LoanGrant) kind() string   { return "loanGrant" }
func (LoanReturn) kind() string  { return "loanReturn" }
func (Releases) kind() string    { return "releases" }

func checkLoanRequest(request LoanRequest) error {
	if request.Number == 0 || !isValidName(string(request.Endpoint)) {
		return fmt.Errorf("request %d for an endpoint of %d bytes", request.Number, len(request.Endpoint))
	}
	return checkDuration(request.Duration)
}

func checkLoanGrant(grant LoanGrant) error {
	if grant.Number == 0 || !isValidName(string(grant.Loan.Borrower)) {
		return fmt.Errorf("grant %d to a host of %d bytes", grant.Number, len(grant.Loan.Borrower))
	}
	if err := checkLoanID(grant.Loan.ID); err != nil {
		return err
	}
	if err := checkSlot(grant.Loan.Slot); err != nil {
		return err
	}
	return checkDuration(grant.Loan.Duration)
}

func checkLoanReturn(returned LoanReturn) error { return checkLoanID(returned.Loan) }

func checkReleases(releases Releases) error {
	if releases.Number == 0 || !isValidName(string(releases.Host)) {
		return fmt.Errorf("releases %d of a host of %d bytes", releases.Number, len(releases.Host))
	}
	if len(releases.Releases) == 0 || len(releases.Releases) > maxReleases {
		return fmt.Errorf("%d releases", len(releases.Releases))
	}
	for _, release := range releases.Releases {
		if release.Host != releases.Host || release.Revision == 0 {
			return errors.New("release of another host or of no revision")
		}
		if err := checkSlot(release.Slot); err != nil {
			return err
		}
	}
	return nil
}

func checkLoanID(id share.LoanID) error {
	if id.Number == 0 || !isValidName(string(id.Owner)) {
		return fmt.Errorf("loan %d of a host of %d bytes", id.Number, len(id.Owner))
	}
	return nil
}

func checkSlot(slot share.Slot) error {
	if !isValidName(string(slot.Endpoint)) || slot.Index < 0 || slot.Index > maxSlotIndex {
		return fmt.Errorf("slot %d of an endpoint of %d bytes", slot.Index, len(slot.Endpoint))
	}
	return nil
}

func checkDuration(duration time.Duration) error {
	if duration <= 0 || duration > maxLoanDuration {
		return fmt.Errorf("loan for %s", duration)
	}
	return nil
}

func isValidName(name string) bool { return name != "" && len(name) <= maxNameBytes }
