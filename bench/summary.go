package bench

import (
	"encoding/json"
	"fmt"

	"filberthold/model"
)

// summary is the JSON form of a report.
type summary struct {
	Classes     map[string]classSummary `json:"classes"`
	Doubled     int                     `json:"doubled"`
	Lost        int                     `json:"lost"`
	Truncated   int                     `json:"truncated"`
	FalseNotRun int                     `json:"falseNotRun"`
	NoFreeSlot  int                     `json:"noFreeSlot"`
	ExtraLoad   float64                 `json:"extraLoad"`
	StoreWrites int                     `json:"storeWrites"`
}

type classSummary struct {
	ClassReport
	P50Microseconds int64 `json:"p50Microseconds"`
	P99Microseconds int64 `json:"p99Microseconds"`
}

// MarshalJSON returns the counts and latency quantiles of the report as JSON.
func (r *Report) MarshalJSON() ([]byte, error) {
	result := summary{
		Classes:     make(map[string]classSummary),
		Doubled:     r.doubled,
		Lost:        r.lost,
		Truncated:   r.Truncated(),
		FalseNotRun: r.falseNotRun,
		NoFreeSlot:  r.rejected,
		ExtraLoad:   r.ExtraLoad(),
		StoreWrites: r.storeWrites,
	}
	for _, class := range model.Classes() {
		counts := r.classes[class]
		result.Classes[class.String()] = classSummary{
			ClassReport:     *counts,
			P50Microseconds: counts.Quantile(50).Microseconds(),
			P99Microseconds: counts.Quantile(99).Microseconds(),
		}
	}
	text, err := json.Marshal(result)
	if err != nil {
		return nil, fmt.Errorf("encode report: %w", err)
	}
	return text, nil
}
