package admin

import (
	"encoding/json"
	"net/http"

	"filberthold/model"
)

// Status is the state of an entry host, as returned by GET /v1/status.
type Status struct {
	Host             model.HostName `json:"host"`
	Incarnation      string         `json:"incarnation"`
	AvailabilityZone model.ZoneName `json:"availabilityZone"`
	// Revision is the number of the revision in force; 0 means none.
	Revision uint64 `json:"revision"`
	// Ready is true if the host accepts new requests.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// Confirmed is true if in the last seconds the store or a peer has reported that
	// it knows no newer revision; see peers.State.Confirmed.
	Confirmed bool `json:"confirmed"`
	// LeavingEndpoints holds the endpoints to which this host sends no new requests.
	LeavingEndpoints []model.EndpointName `json:"leavingEndpoints"`
	// Peers holds the entry hosts to which this host has a connection.
	Peers []model.HostName `json:"peers"`
	// UnsentRecordBytes is the size of the audit records that are not in the archive
	// yet.
	UnsentRecordBytes int `json:"unsentRecordBytes"`
}

// statusHandler returns the handler of GET /v1/status.
func statusHandler(status func() Status) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status())
	}
}
