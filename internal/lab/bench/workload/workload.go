// Package workload describes an experiment: the fleet, the chats that return
// to it, the calls to plain services, and what happens to the engines
// meanwhile. A workload and a seed give the same chats and the same churn.
package workload

import (
	"os"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/config/strictyaml"
	"github.com/zeebo/errs"
)

// ErrRead means that a workload file can't be read.
var ErrRead = errs.Class("workload: read")

// Workload is one experiment.
type Workload struct {
	Name string `yaml:"name" validate:"required,name"`
	// Duration is how long load is offered, without start and end.
	Duration time.Duration `yaml:"duration" validate:"gt=0,lte=600000000000"`
	// Speed divides the pauses between turns, and nothing else: the routers'
	// timers, the engines' steps and the churn run in real time.
	Speed float64 `yaml:"speed" validate:"gte=1,lte=100000"`
	// Routers is the number of routers.
	Routers int `yaml:"routers" validate:"gte=1,lte=32"`
	// LoadBound is the bound c of the language pool.
	LoadBound float64   `yaml:"load_bound" validate:"gte=1.05,lte=100"`
	Engines   Engines   `yaml:"engines"`
	Services  Services  `yaml:"services"`
	Chats     Chats     `yaml:"chats"`
	Accounts  []Account `yaml:"accounts" validate:"min=1,unique=Name,dive"`
	Calls     []Call    `yaml:"calls" validate:"unique=Name,dive"`
	Surge     Surge     `yaml:"surge"`
	Churn     Churn     `yaml:"churn"`
}

// Engines are the settings of the stand-in engines.
type Engines struct {
	Count int `yaml:"count" validate:"gte=1,lte=64"`
	// CacheTokens is the capacity of one engine's prefix cache.
	CacheTokens int64 `yaml:"cache_tokens" validate:"gte=1"`
	MaxBatch    int   `yaml:"max_batch" validate:"gte=1,lte=1000"`
	// Step is the duration of one step.
	Step time.Duration `yaml:"step" validate:"gt=0"`
	// PrefillPerMS is uncached prompt tokens per millisecond and engine.
	PrefillPerMS int `yaml:"prefill_per_ms" validate:"gte=1"`
}

// Services are the VMs behind the plain services.
type Services struct {
	Count int `yaml:"count" validate:"gte=1,lte=16"`
	// Latency is the duration of one call.
	Latency time.Duration `yaml:"latency" validate:"gte=0"`
}

// Chats say who returns, when, and with what.
type Chats struct {
	// Open is the number of chats that are open at one time.
	Open int `yaml:"open" validate:"gte=1,lte=20000"`
	// Ramp is the time over which the first of them begin: their whole dossiers
	// at one moment would be an overload that no day brings.
	Ramp time.Duration `yaml:"ramp" validate:"gte=0"`
	// Turns is the number of turns of one chat.
	Turns Range `yaml:"turns"`
	Pause Pause `yaml:"pause"`
	// Dossiers are the lengths of the first message.
	Dossiers []Dossier `yaml:"dossiers" validate:"min=1,dive"`
	// QuestionTokens is the length of later messages, AnswerTokens that of answers.
	QuestionTokens Range `yaml:"question_tokens"`
	AnswerTokens   Range `yaml:"answer_tokens"`
}

// Range is drawn evenly, bounds included.
type Range struct {
	Min int `yaml:"min" validate:"gte=1,lte=100000"`
	Max int `yaml:"max" validate:"gtefield=Min,lte=100000"`
}

// Pause is a log-normal distribution, cut off at Max.
type Pause struct {
	Median time.Duration `yaml:"median" validate:"gt=0"`
	// Sigma is the standard deviation of the logarithm.
	Sigma float64       `yaml:"sigma" validate:"gte=0,lte=4"`
	Max   time.Duration `yaml:"max" validate:"gtefield=Median"`
}

// Dossier is a length with its share of the chats.
type Dossier struct {
	Share  float64 `yaml:"share" validate:"gt=0"`
	Tokens int     `yaml:"tokens" validate:"gte=1,lte=200000"`
}

// Account is a client account.
type Account struct {
	Name string `yaml:"name" validate:"required,name"`
	// Share is the account's part of the chats; 0 for one that only calls services.
	Share float64 `yaml:"share" validate:"gte=0"`
	// Weight is the account's share when the fleet is short.
	Weight   float64 `yaml:"weight" validate:"gt=0"`
	Priority string  `yaml:"priority" validate:"oneof=urgent high normal batch"`
	// RequestsPerSecond and Concurrency are the account's limits; 0 for none.
	RequestsPerSecond float64 `yaml:"requests_per_second" validate:"gte=0"`
	Concurrency       int     `yaml:"concurrency" validate:"gte=0"`
}

// Call is a stream of calls to a plain service.
type Call struct {
	Name    string `yaml:"name" validate:"required,name"`
	Account string `yaml:"account" validate:"required"`
	Method  string `yaml:"method" validate:"oneof=GET POST"`
	// Path is the route; a last segment "*" is replaced by a number. A POST
	// is not idempotent and carries a key.
	Path     string `yaml:"path" validate:"required,startswith=/"`
	Priority string `yaml:"priority" validate:"oneof=urgent high normal batch"`
	// Rate is the mean number of calls per second.
	Rate float64 `yaml:"rate" validate:"gt=0,lte=500"`
}

// Idempotent reports whether the call may be repeated.
func (c *Call) Idempotent() bool { return c.Method == "GET" }

// Surge multiplies the open chats of one account for a while. No account, no surge.
type Surge struct {
	Account string        `yaml:"account"`
	Factor  float64       `yaml:"factor" validate:"gte=0,lte=50"`
	Start   time.Duration `yaml:"start" validate:"gte=0"`
	Length  time.Duration `yaml:"length" validate:"gte=0"`
}

// Churn takes an engine out at each period, in the way that is next in turn,
// and brings it back. No kinds, no churn.
type Churn struct {
	Period time.Duration `yaml:"period" validate:"gte=0"`
	// Absent is how long an engine stays away.
	Absent time.Duration `yaml:"absent" validate:"gte=0"`
	Kinds  []string      `yaml:"kinds" validate:"dive,oneof=leave crash restart"`
}

// Load reads and checks a workload file. Errors: ErrRead, strictyaml.Problems.
func Load(file string) (*Workload, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrRead.Wrap(err)
	}
	return Parse(file, data)
}

// Parse checks the text of a workload; file names it in problems.
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

// checkNames finds accounts that are named and not listed.
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
