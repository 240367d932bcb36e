package gossip

// Limits of the replay guard.
const (
	// windowSize is the number of sequence numbers in the window of a sender. A packet that is
	// windowSize or more behind the highest number is rejected. windowWords is the size of the
	// window in 64-bit words.
	windowWords = 4
	windowSize  = 64 * windowWords
	// maxSenders bounds the number of tracked instances. It is several times the planned fleet
	// size, because replaced instances are tracked as well.
	maxSenders = 4096
)

// replayGuard tracks which packets of each sending instance were received.
//
// Without it, anyone able to copy packets could resend one and have an outdated "alive" or
// configuration version accepted again. UDP can reorder packets, so the guard keeps a window of
// sequence numbers below the highest one rather than only the highest.
type replayGuard struct {
	senders map[uint64]*window
	clock   uint64
}

type window struct {
	highest  uint64
	seen     [windowWords]uint64
	lastUsed uint64
}

func newReplayGuard() *replayGuard {
	return &replayGuard{senders: make(map[uint64]*window)}
}

// accept reports whether the packet is new, and records it.
func (g *replayGuard) accept(sender, seq uint64) bool {
	if seq == 0 {
		return false
	}
	g.clock++
	w, ok := g.senders[sender]
	if !ok {
		g.evictOldest()
		w = &window{}
		g.senders[sender] = w
	}
	w.lastUsed = g.clock
	return w.accept(seq)
}

func (w *window) accept(seq uint64) bool {
	if seq+windowSize <= w.highest {
		return false
	}
	w.slide(seq)
	word, bit := seq/64%windowWords, uint64(1)<<(seq%64)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

// slide raises the highest sequence number and clears the bits of the numbers between the old
// and the new one.
func (w *window) slide(seq uint64) {
	if seq <= w.highest {
		return
	}
	if seq-w.highest >= windowSize {
		w.seen = [windowWords]uint64{}
	} else {
		for n := w.highest + 1; n <= seq; n++ {
			w.seen[n/64%windowWords] &^= 1 << (n % 64)
		}
	}
	w.highest = seq
}

// evictOldest removes the sender that was silent for the longest time if the table is full.
func (g *replayGuard) evictOldest() {
	if len(g.senders) < maxSenders {
		return
	}
	var oldest uint64
	for id, w := range g.senders {
		if o, ok := g.senders[oldest]; !ok || w.lastUsed < o.lastUsed {
			oldest = id
		}
	}
	delete(g.senders, oldest)
}
