package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// manyFields is the number of short fields of each request, and fewFields that without the
	// disruption. The head has less than a quarter of maxHeaderBytes either way.
	manyFields = 300
	fewFields  = 30
	// singleRequests are sent one after the other, with nothing else under way, and
	// deniedAllowed of them may be denied.
	singleRequests = 60
	deniedAllowed  = 5
	// maxHeaderBytes is that of the configuration.
	maxHeaderBytes = 16384
)

// askWithFields sends one request with a number of short fields on a connection of its own, and
// returns the outcome and the length of its head.
func (d *deployment) askWithFields(to *host, attempt string, fields int) (string, int) {
	conn, err := net.DialTimeout("tcp", to.front(), time.Second)
	if err != nil {
		return err.Error(), 0
	}
	defer func() { _ = conn.Close() }()
	head := strings.TrimSuffix(headOf("GET", "/diary-view/"+attempt, attempt, clientTime, 0), "\r\n")
	var text strings.Builder
	text.WriteString(head)
	for i := range fields {
		fmt.Fprintf(&text, "x-%d: a\r\n", i)
	}
	text.WriteString("\r\n")
	sentAt := time.Now()
	if _, err := conn.Write([]byte(text.String())); err != nil {
		return err.Error(), text.Len()
	}
	outcome := newAnswerReader(conn).status()
	d.record.addRequest(request{attempt: attempt, host: to.name, path: fmt.Sprintf("with %d fields in %d bytes", fields, text.Len()), sentAt: sentAt, answeredAt: time.Now(), outcome: outcome})
	return outcome, text.Len()
}

// playFields sends single requests of many short fields, in calm.
func playFields(d *deployment, hasTrouble bool) (bool, error) {
	d.addRoute("diary-view", "safe", 2500)
	d.configure()
	for i := range 6 {
		if _, err := d.addEndpoint(fmt.Sprintf("i-view%d", i), "diary-view", "plzen-a", 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := d.begin(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	fields := fewFields
	if hasTrouble {
		fields = manyFields
	}
	outcomes := make(map[string]int)
	length := 0
	for number := range singleRequests {
		var outcome string
		outcome, length = d.askWithFields(d.hosts[number%len(d.hosts)], fmt.Sprintf("single%d", number), fields)
		outcomes[outcome]++
		time.Sleep(100 * time.Millisecond)
	}
	denied := 0
	for outcome, count := range outcomes {
		if strings.HasPrefix(outcome, "4") && outcome != "408" && outcome != "421" && outcome != "429" {
			denied += count
		}
	}
	d.record.note("single requests with %d fields in %d bytes, of %d that are allowed: %v; %d were denied, allowed are %d", fields, length, maxHeaderBytes, outcomes, denied, deniedAllowed)
	return denied <= deniedAllowed, nil
}
