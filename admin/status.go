package admin

import (
	"encoding/json"
	"net/http"

	"filberthold/model"
)

// Status is what an entry host reports about itself at GET /v1/status.
type Status struct {
	Host             model.HostName `json:"host"`
	Incarnation      string         `json:"incarnation"`
	AvailabilityZone model.ZoneName `json:"availabilityZone"`
	// Revision is the number of the configuration in force; 0 means none.
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	// Confirmed is true while the store or a peer has confirmed lately that no
	// newer revision is known.
	Confirmed bool `json:"confirmed"`
	// LeavingEndpoints receive no new work from this host.
	LeavingEndpoints []model.EndpointName `json:"leavingEndpoints"`
	// Peers are the entry hosts to which this host has a connection.
	Peers []model.HostName `json:"peers"`
	// UnsentRecordBytes are audit records that are not in the archive yet.
	UnsentRecordBytes int `json:"unsentRecordBytes"`
}

func statusHandler(status func() Status) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status())
	}
}
