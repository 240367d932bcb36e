package settings

import (
	"fmt"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/config/strictyaml"
)

// Default values of the settings.
const (
	DefaultLogLevel        = "info"
	DefaultUpstreamConnect = time.Second
	DefaultFirstByte       = 30 * time.Second
	DefaultIdleGap         = 10 * time.Second
	DefaultLocateTTL       = 10 * time.Second
	DefaultDrain           = 60 * time.Second
	DefaultClaimRetention  = 72 * time.Hour
)

// DefaultBudgets is one process's share of a table service that allows several hundred writes and
// two thousand reads a second, in a fleet of nine routers.
var DefaultBudgets = Budgets{
	Claim:  Budget{Reads: 80, Writes: 40},
	Config: Budget{Reads: 5, Writes: 2},
	Audit:  Budget{Reads: 10, Writes: 5},
	Admin:  Budget{Reads: 10, Writes: 5},
}

// Provision sets the defaults and reads the keys. Errors: strictyaml.Problems.
func (s *Settings) Provision() error {
	fill(&s.LogLevel, DefaultLogLevel)
	fill(&s.ClaimRetention, DefaultClaimRetention)
	s.provisionAddresses()
	s.Timeouts.provision()
	s.Budgets.provision()
	var problems strictyaml.Problems
	problems = append(problems, s.provisionKeys("fleet_keys", s.FleetKeys)...)
	problems = append(problems, s.provisionKeys("hint_keys", s.HintKeys)...)
	return problems.Err()
}

// provisionAddresses makes the listening addresses the default of the advertised ones, except for
// wildcard addresses, to which callers cannot connect.
func (s *Settings) provisionAddresses() {
	if isReachable(s.Listen) {
		fill(&s.Advertise, s.Listen)
	}
	if isReachable(s.ControlListen) {
		fill(&s.ControlAdvertise, s.ControlListen)
	}
}

func (s *Settings) provisionKeys(path string, keys []Key) strictyaml.Problems {
	var problems strictyaml.Problems
	for i := range keys {
		if err := keys[i].provision(); err != nil {
			problems = append(problems, s.at(fmt.Sprintf("%s[%d]", path, i), "%v", err))
		}
	}
	return problems
}

func (t *Timeouts) provision() {
	fill(&t.UpstreamConnect, DefaultUpstreamConnect)
	fill(&t.FirstByte, DefaultFirstByte)
	fill(&t.IdleGap, DefaultIdleGap)
	fill(&t.LocateTTL, DefaultLocateTTL)
	fill(&t.Drain, DefaultDrain)
}

func (b *Budgets) provision() {
	b.Claim.provision(DefaultBudgets.Claim)
	b.Config.provision(DefaultBudgets.Config)
	b.Audit.provision(DefaultBudgets.Audit)
	b.Admin.provision(DefaultBudgets.Admin)
}

func (b *Budget) provision(defaults Budget) {
	fill(&b.Reads, defaults.Reads)
	fill(&b.Writes, defaults.Writes)
}

// fill sets a field that has its zero value.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
