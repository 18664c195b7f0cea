package quest

import (
	"fmt"
	"time"

	"filberthold/config"
)

const (
	// maxRequestBytes is the largest request that an entry host accepts, and
	// maxResponseBytes the largest response that it buffers. It does not buffer
	// exports.
	maxRequestBytes  = 4 << 20
	maxResponseBytes = 8 << 20
)

// Parse decodes answers, checks that they do not contradict each other, and
// checks the configuration that they give. It returns a config.InvalidError
// with all problems.
func Parse(file string, text []byte) (Answers, error) {
	var answers Answers
	err := config.Parse(file, text, func() any {
		answers = Answers{}
		return &answers
	}, func(checker *config.Checker) { answers.check(checker) })
	if err != nil {
		return Answers{}, err
	}
	return answers, nil
}

func (a Answers) check(c *config.Checker) {
	if a.Questionnaire != Version {
		c.Add("questionnaire", fmt.Sprintf("answer version %d", Version), "questionnaire has version %d", a.Questionnaire)
	}
	if len(a.Regions) == 0 {
		c.Add("regions", "name at least one region and its availability zones", "no regions are named")
	}
	for i, region := range a.Regions {
		if len(region.AvailabilityZones) == 0 {
			c.Add(fmt.Sprintf("regions[%d].availabilityZones", i), "name at least one", "region %q has no availability zones", region.Name)
		}
	}
	if len(a.Services) == 0 {
		c.Add("services", "describe at least one service", "no services are described")
	}
	for i, service := range a.Services {
		service.check(c, fmt.Sprintf("services[%d]", i))
	}
	if (a.HostRange.PerZone > 0) == (len(a.Hosts) > 0) {
		c.Add("hosts", "give either hostRange or hosts", "it is not clear where entry hosts run")
	}
	document, err := a.document()
	if err != nil {
		c.Add("", "", "%v", err)
		return
	}
	c.Check(document, a.pathOf)
}

func (s Service) check(c *config.Checker, path string) {
	if s.MustNeverRepeat == nil {
		c.Add(path+".mustNeverRepeat", "answer true if it does harm that a request runs twice",
			"service %q does not say whether requests must never be repeated", s.Name)
	} else if *s.MustNeverRepeat && s.TakesMinutes {
		c.Add(path+".takesMinutes", "split the service: submit a job, then fetch its result",
			"service %q is long and must never be repeated, so it could not be resumed", s.Name)
	}
	if s.LargestRequestBytes > maxRequestBytes {
		c.Add(path+".largestRequestBytes", fmt.Sprintf("at most %d bytes are accepted", maxRequestBytes),
			"requests of service %q are too large", s.Name)
	}
	if s.LargestResponseBytes > maxResponseBytes && !s.TakesMinutes {
		c.Add(path+".largestResponseBytes", fmt.Sprintf("above %d bytes, a service has to be an export", maxResponseBytes),
			"responses of service %q are too large", s.Name)
	}
	if (s.EndpointRange.Count > 0) == (len(s.Endpoints) > 0) {
		c.Add(path+".endpoints", "give either endpointRange or endpoints", "it is not clear where service %q runs", s.Name)
	}
	count := s.EndpointRange.Count + len(s.Endpoints)
	neededSlots := s.PeakRequestsPerSecond * time.Duration(s.TypicalTime).Seconds()
	if slots := count * s.Slots; neededSlots > float64(slots) {
		c.Add(path+".peakRequestsPerSecond", "add endpoints or slots, or correct typicalTime",
			"service %q needs %.1f slots at its peak and has %d", s.Name, neededSlots, slots)
	}
}
