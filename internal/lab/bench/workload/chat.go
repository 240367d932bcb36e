package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/chat"
)

// Plan is one chat, generated in advance.
type Plan struct {
	ID      string
	Account *Account
	Turns   []Turn
}

// Turn is one message and the pause before it.
type Turn struct {
	// Pause is the time since the last response, already divided by Speed.
	Pause time.Duration
	// Tokens is the length of the message, MaxTokens that of its answer.
	Tokens    int
	MaxTokens int
}

// Streams separate the random sources of different purposes.
const (
	streamChats  = 1 << 40
	streamChurn  = 2 << 40
	streamStarts = 3 << 40
)

func newRand(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// Chat generates chat number n, which depends on workload, seed and n only.
func (w *Workload) Chat(seed uint64, n int) *Plan {
	rng := newRand(seed, streamChats+uint64(n))
	p := &Plan{ID: fmt.Sprintf("chat-%d", n), Account: w.drawAccount(rng)}
	w.drawTurns(rng, p)
	return p
}

// SurgeChat generates chat number n of the surging account.
func (w *Workload) SurgeChat(seed uint64, n int) *Plan {
	p := w.Chat(seed, n)
	p.Account = w.account(w.Surge.Account)
	return p
}

// SurgeChats returns the number of additional open chats during the surge.
func (w *Workload) SurgeChats() int {
	a := w.account(w.Surge.Account)
	if a == nil {
		return 0
	}
	baseline := float64(w.Chats.Open) * a.Share / w.totalShare()
	return int(math.Round(baseline * max(0, w.Surge.Factor-1)))
}

// StartDelay returns the time from the start of the load to the first message
// of worker n.
func (w *Workload) StartDelay(seed uint64, n int) time.Duration {
	rng := newRand(seed, streamStarts+uint64(n))
	return time.Duration(rng.Float64() * float64(w.Chats.Ramp))
}

func (w *Workload) drawTurns(rng *rand.Rand, p *Plan) {
	c := &w.Chats
	n := c.Turns.draw(rng)
	for i := range n {
		t := Turn{Tokens: c.QuestionTokens.draw(rng), MaxTokens: c.AnswerTokens.draw(rng)}
		pause := c.Pause.draw(rng)
		if i == 0 {
			t.Tokens = c.drawDossier(rng)
		} else {
			t.Pause = time.Duration(float64(pause) / w.Speed)
		}
		p.Turns = append(p.Turns, t)
	}
}

func (w *Workload) drawAccount(rng *rand.Rand) *Account {
	at := rng.Float64() * w.totalShare()
	for i := range w.Accounts {
		at -= w.Accounts[i].Share
		if at < 0 {
			return &w.Accounts[i]
		}
	}
	return &w.Accounts[0]
}

func (c *Chats) drawDossier(rng *rand.Rand) int {
	total := 0.0
	for _, d := range c.Dossiers {
		total += d.Share
	}
	at := rng.Float64() * total
	for _, d := range c.Dossiers {
		at -= d.Share
		if at < 0 {
			return d.Tokens
		}
	}
	return c.Dossiers[0].Tokens
}

func (r Range) draw(rng *rand.Rand) int {
	return r.Min + rng.IntN(r.Max-r.Min+1)
}

func (p Pause) draw(rng *rand.Rand) time.Duration {
	d := float64(p.Median) * math.Exp(p.Sigma*rng.NormFloat64())
	return time.Duration(min(d, float64(p.Max)))
}

const (
	filler     = " page-"
	fillerBase = 36
)

// Text returns a message of about the given number of tokens that begins and
// ends with mark. Texts with different marks have no common prefix, so that no
// two chats share a prefix in a cache.
func Text(mark string, tokens int) string {
	var b strings.Builder
	size := max(0, tokens*chat.BytesPerToken-2*len(mark))
	b.Grow(size + 2*len(mark) + 2*len(filler))
	b.WriteString(mark)
	for i := 0; b.Len() < size; i++ {
		b.WriteString(filler)
		b.WriteString(strconv.FormatInt(int64(i), fillerBase))
	}
	b.WriteString(mark)
	return b.String()
}
