package orgs

import "filberthold/platform"

// ConfigRow is what a host knows of the newest row of the configuration. The zero value is
// that of a host that knows none.
type ConfigRow struct {
	version platform.Version
	// isGenuine is true if the host knows the value that the store has at version. Hosts
	// replace a value that they cannot decode by that of the configuration in force before
	// they pass the row on.
	isGenuine bool
	// isInForce is true if the configuration in force is that of the row or a newer one.
	isInForce bool
	// isMissed is true if an answer of the store may have lacked a newer row: its next
	// answers without changes prove nothing.
	isMissed bool
}

// FromStore returns the state after the store returned the row.
func (r ConfigRow) FromStore(version platform.Version, isInForce bool) ConfigRow {
	if version.Compare(r.version) < 0 {
		return r
	}
	return ConfigRow{version: version, isGenuine: true, isInForce: isInForce, isMissed: r.isMissed}
}

// FromHost returns the state after another host passed the row on.
func (r ConfigRow) FromHost(version platform.Version) ConfigRow {
	if version.Compare(r.version) <= 0 {
		return r
	}
	return ConfigRow{version: version, isMissed: r.isMissed}
}

// Vouched returns the state after another host stated that the configuration in force here,
// or an older one, is that of the row with a version.
func (r ConfigRow) Vouched(version platform.Version) ConfigRow {
	if version != r.version || version.IsZero() {
		return r
	}
	return ConfigRow{version: version, isGenuine: true, isInForce: true, isMissed: r.isMissed}
}

// Missed returns the state after an answer that may lack the newest row was applied, here or
// at the host from which the rows came.
func (r ConfigRow) Missed() ConfigRow {
	r.isMissed = true
	return r
}

// ReadWhole returns the state after the store returned its whole table.
func (r ConfigRow) ReadWhole() ConfigRow {
	r.isMissed = false
	return r
}

// IsMissed reports whether an answer of the store may have lacked a newer row.
func (r ConfigRow) IsMissed() bool { return r.isMissed }

// Version returns the version of the row, or the zero Version.
func (r ConfigRow) Version() platform.Version { return r.version }

// IsGenuine reports whether the host knows the value of the row.
func (r ConfigRow) IsGenuine() bool { return r.isGenuine }

// IsProvable reports whether an answer of the store without a newer row proves the
// configuration in force.
func (r ConfigRow) IsProvable() bool { return r.isGenuine && r.isInForce && !r.isMissed }
