package config

import (
	"fmt"
	"net/netip"
	"time"

	"filberthold/model"

	"github.com/pelletier/go-toml/v2"
)

// ParseSettings decodes and checks the settings of a process. It returns an
// InvalidError with all problems. The file name is used in error messages only.
func ParseSettings(file string, text []byte) (Settings, error) {
	var settings Settings
	err := Parse(file, text, func() any {
		settings = Settings{Log: LogSettings{Format: "text", Level: "info"}, Placement: Steered}
		return &settings
	}, func(checker *Checker) { checker.settings(settings) })
	if err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// ParseDeployment decodes and checks the configuration of a deployment and
// converts it to a deployment with the given revision.
func ParseDeployment(file string, text []byte, revision uint64) (*model.Deployment, error) {
	document, err := ParseDocument(file, text)
	if err != nil {
		return nil, err
	}
	deployment, err := document.Build(revision)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return deployment, nil
}

// ParseDocument decodes and checks the configuration of a deployment. It
// returns an InvalidError with all problems.
func ParseDocument(file string, text []byte) (Document, error) {
	var document Document
	err := Parse(file, text, func() any {
		document = Document{}
		return &document
	}, func(checker *Checker) { checker.document(document) })
	if err != nil {
		return Document{}, err
	}
	return document, nil
}

// Parse decodes a TOML document into the value that into returns, and calls
// check to look for further problems. It returns an InvalidError with all
// problems. Unknown keys are problems. Decoding may be repeated, so into must
// return an empty value each time.
func Parse(file string, text []byte, into func() any, check func(*Checker)) error {
	problems, isComplete := decode(text, into)
	if isComplete {
		checker := newChecker()
		check(checker)
		problems = checker.problems(text, problems)
	}
	if len(problems) > 0 {
		return newInvalidError(file, problems)
	}
	return nil
}

// Encode encodes the configuration of a deployment as TOML.
func Encode(document Document) ([]byte, error) {
	text, err := toml.Marshal(document)
	if err != nil {
		return nil, fmt.Errorf("encode deployment: %w", err)
	}
	return text, nil
}

// Build converts the document to a deployment.
func (doc Document) Build(revision uint64) (*model.Deployment, error) {
	spec := model.DeploymentSpec{
		Name:     doc.Name,
		Revision: revision,
		Delays: model.NewDelays(time.Duration(doc.Delays.BetweenZones),
			time.Duration(doc.Delays.BetweenRegions), time.Duration(doc.Delays.ToClients)),
	}
	for _, zone := range doc.AvailabilityZones {
		spec.Zones = append(spec.Zones, model.NewZone(model.ZoneName(zone.Name), model.RegionName(zone.Region)))
	}
	for _, service := range doc.Services {
		built, err := service.build()
		if err != nil {
			return nil, fmt.Errorf("service %q: %w", service.Name, err)
		}
		spec.Services = append(spec.Services, built)
	}
	for _, endpoint := range doc.Endpoints {
		spec.Endpoints = append(spec.Endpoints, endpoint.build())
	}
	for _, host := range doc.Hosts {
		spec.Hosts = append(spec.Hosts, host.build())
	}
	for _, link := range doc.Links {
		spec.Links = append(spec.Links, model.NewLink(model.RegionName(link.Between[0]),
			model.RegionName(link.Between[1]), link.BitsPerSecond))
	}
	for _, block := range doc.Blocks {
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			return nil, fmt.Errorf("client block %q: %w", block.Prefix, err)
		}
		spec.Blocks = append(spec.Blocks, model.NewBlock(prefix, model.SiteName(block.Site)))
	}
	for _, plan := range doc.Plans {
		spec.Plans = append(spec.Plans, plan.build())
	}
	deployment, err := model.NewDeployment(spec)
	if err != nil {
		return nil, fmt.Errorf("build deployment: %w", err)
	}
	return deployment, nil
}

func (doc ServiceDocument) build() (model.Service, error) {
	class, err := model.ParseClass(doc.Class)
	if err != nil {
		return model.Service{}, fmt.Errorf("parse class: %w", err)
	}
	return model.NewService(model.ServiceSpec{
		Name:            model.ServiceName(doc.Name),
		Class:           class,
		DefaultTimeout:  time.Duration(doc.DefaultTimeout),
		QueueLimit:      doc.QueueLimit,
		ShiftCapPercent: doc.ShiftCapPercent,
		SlowStart:       time.Duration(doc.SlowStart),
	}), nil
}

func (doc EndpointDocument) build() model.Endpoint {
	return model.NewEndpoint(model.EndpointSpec{
		Name:        model.EndpointName(doc.Name),
		Service:     model.ServiceName(doc.Service),
		Zone:        model.ZoneName(doc.AvailabilityZone),
		Address:     doc.Address,
		Slots:       doc.Slots,
		Connections: doc.Connections,
	})
}

func (doc HostDocument) build() model.Host {
	return model.NewHost(model.HostSpec{
		Name:            model.HostName(doc.Name),
		Zone:            model.ZoneName(doc.AvailabilityZone),
		Site:            model.SiteName(doc.Site),
		CallerAddress:   doc.CallerAddress,
		PeerAddress:     doc.PeerAddress,
		OperatorAddress: doc.OperatorAddress,
		Stopped:         doc.Stopped,
	})
}

func (doc PlanDocument) build() model.Plan {
	return model.NewPlan(model.PlanSpec{
		Name:                 model.PlanName(doc.Name),
		Kind:                 model.PlanKind(doc.Kind),
		Service:              model.ServiceName(doc.Service),
		From:                 model.RegionName(doc.From),
		To:                   model.RegionName(doc.To),
		Start:                doc.Start,
		RatePercentPerMinute: doc.RatePercentPerMinute,
		CapPercent:           doc.CapPercent,
	})
}
