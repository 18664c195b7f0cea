// Package fakes provides fakes of the external systems of filberthold: the
// platform, upstream endpoints and callers. They count requests themselves, so
// that tests and the demo do not rely on the counts that filberthold reports.
package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"filberthold/store"
)

// Platform is a fake of the platform's table, object store and host list.
type Platform struct {
	faults  platformFaults
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	// memberChanges is the history of the host list, oldest first.
	memberChanges []memberChange
	// writes counts transactions and stored objects that took effect.
	writes int
	// claimWrites counts the transactions among them that changed the register.
	claimWrites int
	// reads counts the reads that were executed.
	reads int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		rows:    make(map[string]store.Row),
		objects: make(map[string][]byte),
	}
}

// SetMember adds or changes a member of the host list.
func (p *Platform) SetMember(member store.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memberChanges = append(p.memberChanges, memberChange{at: time.Now(), member: member})
}

// ClaimWrites returns how many transactions changed the register.
func (p *Platform) ClaimWrites() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claimWrites
}

// Writes returns how many writes took effect.
func (p *Platform) Writes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes
}

// ServeHTTP implements the protocol of the platform.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(store.TimeHeader, time.Now().UTC().Format(time.RFC3339Nano))
	if !p.faults.admit(w, r) {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/table":
		p.listRows(w, r.URL.Query().Get("prefix"))
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/table/"):
		p.getRow(w, strings.TrimPrefix(r.URL.Path, "/table/"))
	case r.Method == http.MethodPost && r.URL.Path == "/transactions":
		p.commit(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/objects":
		p.listObjects(w, r.URL.Query().Get("prefix"))
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/objects/"):
		p.getObject(w, strings.TrimPrefix(r.URL.Path, "/objects/"))
	case r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, "/objects/"):
		p.putObject(w, r, strings.TrimPrefix(r.URL.Path, "/objects/"))
	case r.Method == http.MethodGet && r.URL.Path == "/hosts":
		p.listMembers(w)
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) listRows(w http.ResponseWriter, prefix string) {
	p.mu.Lock()
	list := store.RowList{Rows: []store.Row{}}
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			list.Rows = append(list.Rows, row)
		}
	}
	p.reads++
	p.mu.Unlock()
	slices.SortFunc(list.Rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, list)
}

func (p *Platform) getRow(w http.ResponseWriter, key string) {
	p.mu.Lock()
	row, exists := p.rows[key]
	p.reads++
	p.mu.Unlock()
	if !exists {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var transaction store.Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result := p.apply(transaction)
	p.faults.dropResponse()
	if len(result.Conflicts) > 0 {
		writeJSON(w, http.StatusConflict, result)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func (p *Platform) apply(transaction store.Transaction) store.TransactionResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	var result store.TransactionResult
	for _, write := range transaction.Writes {
		if row := p.rows[write.Key]; row.Version != write.IfVersion {
			row.Key = write.Key
			result.Conflicts = append(result.Conflicts, row)
		}
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	for _, write := range transaction.Writes {
		row := store.Row{Key: write.Key, Version: write.IfVersion + 1, Value: write.Value}
		p.rows[write.Key] = row
		result.Versions = append(result.Versions, row.Version)
	}
	p.writes++
	if len(transaction.Writes) > 0 && strings.HasPrefix(transaction.Writes[0].Key, "claims/") {
		p.claimWrites++
	}
	return result
}

func (p *Platform) listObjects(w http.ResponseWriter, prefix string) {
	p.mu.Lock()
	list := store.ObjectList{Names: []string{}}
	for name := range p.objects {
		if strings.HasPrefix(name, prefix) {
			list.Names = append(list.Names, name)
		}
	}
	p.reads++
	p.mu.Unlock()
	slices.Sort(list.Names)
	writeJSON(w, http.StatusOK, list)
}

func (p *Platform) getObject(w http.ResponseWriter, name string) {
	p.mu.Lock()
	body, exists := p.objects[name]
	p.reads++
	p.mu.Unlock()
	if !exists {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	_, exists := p.objects[name]
	if !exists {
		p.objects[name] = body
		p.writes++
	}
	p.mu.Unlock()
	p.faults.dropResponse()
	if exists {
		http.Error(w, "exists", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (p *Platform) listMembers(w http.ResponseWriter) {
	p.faults.mu.Lock()
	asOf := time.Now().Add(-p.faults.memberLag)
	p.faults.mu.Unlock()
	p.mu.Lock()
	list := store.MemberList{Members: []store.Member{}, AsOf: asOf.UTC()}
	for _, member := range p.membersAsOf(asOf) {
		list.Members = append(list.Members, member)
	}
	p.reads++
	p.mu.Unlock()
	slices.SortFunc(list.Members, func(a, b store.Member) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, fmt.Sprintf("encode response: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
