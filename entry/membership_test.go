package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"filberthold/model"
	"filberthold/peers"
	"filberthold/place"
	"filberthold/store"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// listed is a host list that the test changes.
type listed struct{ members []store.Member }

func (l *listed) Members(context.Context) (store.MemberList, error) {
	return store.MemberList{Members: l.members}, nil
}

func newTestMembership(source memberSource) (*Membership, *[]string) {
	mesh := peers.NewMesh(peers.Options{Log: slog.New(slog.DiscardHandler), Host: "host"})
	var events []string
	report := func(_ context.Context, event place.Event) error {
		switch event := event.(type) {
		case place.Marked:
			events = append(events, fmt.Sprintf("marked %s/%s by %s", event.Endpoint, event.Incarnation, event.Source))
		case place.Unmarked:
			events = append(events, fmt.Sprintf("unmarked %s/%s", event.Endpoint, event.Incarnation))
		}
		return nil
	}
	return newMembership(slog.New(slog.DiscardHandler), source, mesh, NewDirectory("host", mesh.State()), report), &events
}

// Guards against a lagging host list that gives work back to a leaving
// endpoint, and against a mark that outlives the run it is about.
func TestLeavingMarksAreStickyForOneRun(t *testing.T) {
	list := &listed{}
	membership, events := newTestMembership(list)
	ctx := t.Context()
	steps := []struct {
		name string
		act  func() error
		want string
	}{
		{"first list", show(list, membership, "1", store.Live), ""},
		{"answer", func() error { return membership.MarkLeaving(ctx, "e", "answer") }, "marked e/1 by answer"},
		{"list lags", show(list, membership, "1", store.Live), ""},
		{"peer repeats", fromPeer(membership, "1"), ""},
		{"new run", show(list, membership, "2", store.Live), "unmarked e/2"},
		{"old run again", show(list, membership, "1", store.Leaving), ""},
		{"peer lags", fromPeer(membership, "1"), ""},
		{"list says leaving", show(list, membership, "2", store.Leaving), "marked e/2 by host list"},
		{"list takes it back", show(list, membership, "2", store.Live), ""},
		{"peer is ahead", fromPeer(membership, "3"), ""},
		{"marked run is listed", show(list, membership, "3", store.Live), "marked e/3 by host list"},
	}
	for _, step := range steps {
		*events = nil
		assert.NilError(t, step.act(), step.name)
		assert.Equal(t, strings.Join(*events, ", "), step.want, step.name)
	}
}

func show(list *listed, membership *Membership, incarnation string, state store.MemberState) func() error {
	return func() error {
		list.members = []store.Member{{Name: "e", Kind: store.KindEndpoint, Incarnation: incarnation, State: state}}
		return membership.pollMembers(context.Background())
	}
}

// fromPeer does what the mesh does with marks of a peer.
func fromPeer(membership *Membership, incarnation string) func() error {
	return func() error {
		marks := []peers.LeavingMark{{Endpoint: "e", Incarnation: incarnation}}
		membership.state.Mark(marks...)
		return membership.markFromPeer(context.Background(), marks)
	}
}

// Guards against an answer or a probe that says that the endpoint leaves and
// reaches neither placement nor peers.
func TestLeavingAnswersAndProbes(t *testing.T) {
	membership, events := newTestMembership(&listed{})
	answers := newLeavingAnswers()
	answers.observe(place.Arrived{}, []place.Decision{place.Send{Attempt: 7, Endpoint: "by-answer"}})
	answers.observe(place.Finished{Attempt: 7, Leaving: true}, nil)
	assert.Equal(t, answers.found.Len(), 1, "the answer is not noticed")
	endpoint, err := answers.found.Get(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, membership.MarkLeaving(t.Context(), endpoint, "answer"))

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/healthz")
		w.Header().Set(upstrm.LeavingHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	deployment, err := model.NewDeployment(model.DeploymentParts{
		Name: "test", Zones: []model.Zone{model.NewZone("z", "r")},
		Services: []model.Service{model.NewService(model.ServiceParts{Name: "s", Class: model.Read})},
		Hosts:    []model.Host{model.NewHost(model.HostParts{Name: "host", Zone: "z"})},
		Endpoints: []model.Endpoint{
			model.NewEndpoint(model.EndpointParts{Name: "by-probe", Service: "s", Zone: "z", Address: address, Slots: 1, Connections: 1}),
			model.NewEndpoint(model.EndpointParts{Name: "silent", Service: "s", Zone: "z", Address: "127.0.0.1:1", Slots: 1, Connections: 1}),
		},
	})
	assert.NilError(t, err)
	membership.directory.Adopt(deployment)
	prober := newProber("host", membership.directory, membership, upstrm.NewClient("a"))
	defer prober.client.CloseIdleConnections()
	assert.NilError(t, prober.probeAll(t.Context()))
	assert.DeepEqual(t, *events, []string{"marked by-answer/ by answer", "marked by-probe/ by health"})
	assert.DeepEqual(t, membership.state.Marks(), []peers.LeavingMark{{Endpoint: "by-answer"}, {Endpoint: "by-probe"}})
}
