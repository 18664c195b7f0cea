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

// fakeHostList is a host list that a test sets.
type fakeHostList struct{ members []store.Member }

func (l *fakeHostList) Members(context.Context) (store.MemberList, error) {
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

// Guards against a stale host list that returns traffic to a leaving endpoint,
// and against a leaving mark that applies to the next incarnation.
func TestLeavingMarkHoldsForOneIncarnation(t *testing.T) {
	hosts := &fakeHostList{}
	membership, events := newTestMembership(hosts)
	ctx := t.Context()
	steps := []struct {
		name string
		act  func() error
		want string
	}{
		{"first host list", pollWith(hosts, membership, "1", store.Live), ""},
		{"answer", func() error { return membership.MarkLeaving(ctx, "e", "answer") }, "marked e/1 by answer"},
		{"stale host list", pollWith(hosts, membership, "1", store.Live), ""},
		{"repeated mark of a peer", fromPeer(membership, "1"), ""},
		{"new incarnation", pollWith(hosts, membership, "2", store.Live), "unmarked e/2"},
		{"past incarnation in the host list", pollWith(hosts, membership, "1", store.Leaving), ""},
		{"peer marks a past incarnation", fromPeer(membership, "1"), ""},
		{"host list shows leaving", pollWith(hosts, membership, "2", store.Leaving), "marked e/2 by host list"},
		{"host list shows live again", pollWith(hosts, membership, "2", store.Live), ""},
		{"peer marks a future incarnation", fromPeer(membership, "3"), ""},
		{"marked incarnation in the host list", pollWith(hosts, membership, "3", store.Live), "marked e/3 by host list"},
	}
	for _, step := range steps {
		*events = nil
		assert.NilError(t, step.act(), step.name)
		assert.Equal(t, strings.Join(*events, ", "), step.want, step.name)
	}
}

func pollWith(list *fakeHostList, membership *Membership, incarnation string, state store.MemberState) func() error {
	return func() error {
		list.members = []store.Member{{Name: "e", Kind: store.KindEndpoint, Incarnation: incarnation, State: state}}
		return membership.pollMembers(context.Background())
	}
}

// fromPeer returns a step that applies a leaving mark as the mesh does.
func fromPeer(membership *Membership, incarnation string) func() error {
	return func() error {
		marks := []peers.LeavingMark{{Endpoint: "e", Incarnation: incarnation}}
		membership.state.Mark(marks...)
		return membership.markFromPeer(context.Background(), marks)
	}
}

// Guards against a response or a probe that reports a leaving endpoint and does
// not reach placement and peers.
func TestLeavingResponseOrProbeMarksEndpoint(t *testing.T) {
	membership, events := newTestMembership(&fakeHostList{})
	responses := newLeavingResponses()
	responses.observe(place.Arrived{}, []place.Decision{place.Send{Attempt: 7, Endpoint: "by-answer"}})
	responses.observe(place.Responded{Attempt: 7, Leaving: true}, nil)
	assert.Equal(t, responses.queue.Len(), 1, "the header of an export was ignored")
	_, err := responses.queue.Get(t.Context())
	assert.NilError(t, err)
	responses.observe(place.Finished{Attempt: 7, Leaving: true}, nil)
	assert.Equal(t, responses.queue.Len(), 1, "the response was ignored")
	endpoint, err := responses.queue.Get(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, membership.MarkLeaving(t.Context(), endpoint, "answer"))

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/healthz")
		w.Header().Set(upstrm.LeavingHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	deployment, err := model.NewDeployment(model.DeploymentSpec{
		Name: "test", Zones: []model.Zone{model.NewZone("z", "r")},
		Services: []model.Service{model.NewService(model.ServiceSpec{Name: "s", Class: model.Read})},
		Hosts:    []model.Host{model.NewHost(model.HostSpec{Name: "host", Zone: "z"})},
		Endpoints: []model.Endpoint{
			model.NewEndpoint(model.EndpointSpec{Name: "by-probe", Service: "s", Zone: "z", Address: address, Slots: 1, Connections: 1}),
			model.NewEndpoint(model.EndpointSpec{Name: "silent", Service: "s", Zone: "z", Address: "127.0.0.1:1", Slots: 1, Connections: 1}),
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
