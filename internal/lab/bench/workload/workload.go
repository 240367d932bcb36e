// Package workload describes an experiment: the fleet, the chats with their
// returning turns, the calls to services, and the churn of engines. A workload
// and a seed determine the chats and the churn.
package workload

import (
	"os"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/config/strictyaml"
	"github.com/zeebo/errs"
)

// ErrRead is the class of failures to read a workload file or to encode its
// configuration.
var ErrRead = errs.Class("workload: read")

// Workload is one experiment.
type Workload struct {
	Name string `yaml:"name" validate:"required,name"`
	// Duration is the time for which load is generated, without startup and shutdown.
	Duration time.Duration `yaml:"duration" validate:"gt=0,lte=600000000000"`
	// Speed divides the pauses between turns only: the routers' timers, the
	// engines' steps and the churn run in real time.
	Speed float64 `yaml:"speed" validate:"gte=1,lte=100000"`
	// Routers is the number of routers.
	Routers int `yaml:"routers" validate:"gte=1,lte=32"`
	// LoadBound is the load bound c of the language pool.
	LoadBound float64   `yaml:"load_bound" validate:"gte=1.05,lte=100"`
	Engines   Engines   `yaml:"engines"`
	Services  Services  `yaml:"services"`
	Chats     Chats     `yaml:"chats"`
	Accounts  []Account `yaml:"accounts" validate:"min=1,unique=Name,dive"`
	Calls     []Call    `yaml:"calls" validate:"unique=Name,dive"`
	Surge     Surge     `yaml:"surge"`
	Churn     Churn     `yaml:"churn"`
}

// Engines configures the stand-in engines.
type Engines struct {
	Count int `yaml:"count" validate:"gte=1,lte=64"`
	// CacheTokens is the capacity of one engine's prefix cache.
	CacheTokens int64 `yaml:"cache_tokens" validate:"gte=1"`
	MaxBatch    int   `yaml:"max_batch" validate:"gte=1,lte=1000"`
	// Step is the duration of one engine step.
	Step time.Duration `yaml:"step" validate:"gt=0"`
	// PrefillPerMS is the number of uncached prompt tokens per millisecond and engine.
	PrefillPerMS int `yaml:"prefill_per_ms" validate:"gte=1"`
}

// Services configures the VMs of the services.
type Services struct {
	Count int `yaml:"count" validate:"gte=1,lte=16"`
	// Latency is the duration of one call.
	Latency time.Duration `yaml:"latency" validate:"gte=0"`
}

// Chats describes the chats and the timing of their turns.
type Chats struct {
	// Open is the number of concurrent chats.
	Open int `yaml:"open" validate:"gte=1,lte=20000"`
	// Ramp is the time over which the first chats start: prefilling all of their
	// dossiers at once would be an overload that does not occur in production.
	Ramp time.Duration `yaml:"ramp" validate:"gte=0"`
	// Turns is the number of turns of one chat.
	Turns Range `yaml:"turns"`
	Pause Pause `yaml:"pause"`
	// Dossiers are the lengths of a chat's first message.
	Dossiers []Dossier `yaml:"dossiers" validate:"min=1,dive"`
	// QuestionTokens is the length of later messages, AnswerTokens that of answers.
	QuestionTokens Range `yaml:"question_tokens"`
	AnswerTokens   Range `yaml:"answer_tokens"`
}

// Range is a uniform distribution over [Min, Max].
type Range struct {
	Min int `yaml:"min" validate:"gte=1,lte=100000"`
	Max int `yaml:"max" validate:"gtefield=Min,lte=100000"`
}

// Pause is a log-normal distribution, truncated at Max.
type Pause struct {
	Median time.Duration `yaml:"median" validate:"gt=0"`
	// Sigma is the standard deviation of the logarithm.
	Sigma float64       `yaml:"sigma" validate:"gte=0,lte=4"`
	Max   time.Duration `yaml:"max" validate:"gtefield=Median"`
}

// Dossier is a message length with its share of the chats.
type Dossier struct {
	Share  float64 `yaml:"share" validate:"gt=0"`
	Tokens int     `yaml:"tokens" validate:"gte=1,lte=200000"`
}

// Account is a client account.
type Account struct {
	Name string `yaml:"name" validate:"required,name"`
	// Share is the account's share of the chats; 0 for an account that only calls services.
	Share float64 `yaml:"share" validate:"gte=0"`
	// Weight is the account's share when capacity is short.
	Weight   float64 `yaml:"weight" validate:"gt=0"`
	Priority string  `yaml:"priority" validate:"oneof=urgent high normal batch"`
	// RequestsPerSecond and Concurrency are the account's limits; 0 for none.
	RequestsPerSecond float64 `yaml:"requests_per_second" validate:"gte=0"`
	Concurrency       int     `yaml:"concurrency" validate:"gte=0"`
}

// Call is a stream of calls to a service.
type Call struct {
	Name    string `yaml:"name" validate:"required,name"`
	Account string `yaml:"account" validate:"required"`
	Method  string `yaml:"method" validate:"oneof=GET POST"`
	// Path is the route. A last segment "*" is replaced by the id of the call.
	// A POST is not idempotent and carries a key.
	Path     string `yaml:"path" validate:"required,startswith=/"`
	Priority string `yaml:"priority" validate:"oneof=urgent high normal batch"`
	// Rate is the mean number of calls per second.
	Rate float64 `yaml:"rate" validate:"gt=0,lte=500"`
}

// Idempotent reports whether the call may be repeated.
func (c *Call) Idempotent() bool { return c.Method == "GET" }

// Surge multiplies the open chats of one account for a time. It is disabled
// without an account.
type Surge struct {
	Account string        `yaml:"account"`
	Factor  float64       `yaml:"factor" validate:"gte=0,lte=50"`
	Start   time.Duration `yaml:"start" validate:"gte=0"`
	Length  time.Duration `yaml:"length" validate:"gte=0"`
}

// Churn stops one engine per period, cycling through Kinds, and restarts it.
// It is disabled without kinds.
type Churn struct {
	Period time.Duration `yaml:"period" validate:"gte=0"`
	// Absent is how long an engine stays stopped.
	Absent time.Duration `yaml:"absent" validate:"gte=0"`
	Kinds  []string      `yaml:"kinds" validate:"dive,oneof=leave crash restart"`
}

// Load reads and validates a workload file. Errors: ErrRead, strictyaml.Problems.
func Load(file string) (*Workload, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrRead.Wrap(err)
	}
	return Parse(file, data)
}

// Parse validates the text of a workload; file is its name in problems.
func Parse(file string, data []byte) (*Workload, error) {
	w := new(Workload)
	src, problems := strictyaml.Decode(file, data, w)
	if len(problems) > 0 {
		return nil, problems
	}
	problems = src.Fields(strictyaml.NewValidator(), w)
	problems = append(problems, w.checkNames(src)...)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return w, nil
}

// checkNames reports accounts that are used but not listed, and missing shares
// and periods.
func (w *Workload) checkNames(src *strictyaml.Source) strictyaml.Problems {
	var problems strictyaml.Problems
	for _, c := range w.Calls {
		if w.account(c.Account) == nil {
			problems = append(problems, src.At("calls", "call %q names the unknown account %q", c.Name, c.Account))
		}
	}
	if s := w.Surge; s.Account != "" && w.account(s.Account) == nil {
		problems = append(problems, src.At("surge.account", "is not among the accounts"))
	}
	if w.totalShare() == 0 {
		problems = append(problems, src.At("accounts", "no account has a share of the chats"))
	}
	if len(w.Churn.Kinds) > 0 && w.Churn.Period == 0 {
		problems = append(problems, src.At("churn", "needs a period"))
	}
	return problems
}

func (w *Workload) account(name string) *Account {
	for i := range w.Accounts {
		if w.Accounts[i].Name == name {
			return &w.Accounts[i]
		}
	}
	return nil
}

func (w *Workload) totalShare() float64 {
	total := 0.0
	for _, a := range w.Accounts {
		total += a.Share
	}
	return total
}
