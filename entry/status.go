package entry

import (
	"time"

	"filberthold/admin"
	"filberthold/model"
)

// Status returns the state of the host for operators.
func (h *Host) Status() admin.Status {
	settings := h.base.Settings()
	now := time.Now()
	status := admin.Status{
		Host:              model.HostName(settings.Host),
		Incarnation:       h.incarnation,
		AvailabilityZone:  model.ZoneName(settings.AvailabilityZone),
		Ready:             h.AcceptsRequests(now),
		Leaving:           h.callers.IsLeaving(),
		Confirmed:         h.directory.Confirmed(now),
		LeavingEndpoints:  []model.EndpointName{},
		Peers:             append([]model.HostName{}, h.mesh.ConnectedHosts()...),
		UnsentRecordBytes: h.dispatcher.archive.UnsentBytes(),
	}
	if deployment := h.directory.Deployment(); deployment != nil {
		status.Revision = deployment.Revision()
	}
	for _, mark := range h.mesh.State().Marks() {
		status.LeavingEndpoints = append(status.LeavingEndpoints, mark.Endpoint)
	}
	return status
}
