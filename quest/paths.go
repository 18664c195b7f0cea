package quest

import (
	"fmt"
	"strconv"
	"strings"
)

// pathOf returns the path of the answer from which a part of the configuration
// was generated, so that a problem is reported where it can be corrected.
func (a Answers) pathOf(path string) string {
	list, index, key := splitPath(path)
	switch list {
	case "blocks":
		return join("callers", index, key)
	case "plans":
		if index < len(a.Drains) {
			return join("drains", index, shiftKey(key))
		}
		return join("moves", index-len(a.Drains), shiftKey(key))
	case "services":
		return join("services", index, serviceKey(key))
	case "endpoints":
		return a.endpointPath(index, key)
	case "hosts":
		if index >= len(a.Hosts) {
			return "hostRange"
		}
	case "availabilityZones":
		return a.zonePath(index, key)
	}
	return path
}

func (a Answers) endpointPath(index int, key string) string {
	for i, service := range a.Services {
		count := len(service.Endpoints) + service.EndpointRange.Count
		if index >= count {
			index -= count
			continue
		}
		switch {
		case key == "slots" || key == "connections" || key == "name":
			return join("services", i, key)
		case index < len(service.Endpoints):
			return join(join("services", i, "endpoints"), index, key)
		}
		return join("services", i, "endpointRange")
	}
	return "services"
}

func (a Answers) zonePath(index int, key string) string {
	for i, region := range a.Regions {
		if index < len(region.AvailabilityZones) {
			if key == "region" {
				return join("regions", i, "name")
			}
			return join("regions", i, "availabilityZones")
		}
		index -= len(region.AvailabilityZones)
	}
	return "regions"
}

func serviceKey(key string) string {
	switch key {
	case "defaultTimeout":
		return "answerWithin"
	case "queueLimit":
		return "mayWait"
	case "shiftCapPercent":
		return "mayMovePercent"
	case "slowStart":
		return "warmUp"
	}
	return key
}

func shiftKey(key string) string {
	switch key {
	case "ratePercentPerMinute":
		return "percentPerMinute"
	case "capPercent":
		return "atMostPercent"
	}
	return key
}

// splitPath splits a path such as blocks[3].site.
func splitPath(path string) (list string, index int, key string) {
	list, rest, isElement := strings.Cut(path, "[")
	if !isElement {
		return path, 0, ""
	}
	number, rest, _ := strings.Cut(rest, "]")
	index, err := strconv.Atoi(number)
	if err != nil {
		return path, 0, ""
	}
	return list, index, strings.TrimPrefix(rest, ".")
}

func join(list string, index int, key string) string {
	return fmt.Sprintf("%s[%d].%s", list, index, key)
}
