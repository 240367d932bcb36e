package gossip

// Bounds of the replay guard.
const (
	// windowWords times 64 is how far a packet may arrive behind a later one.
	windowWords = 4
	windowSize  = 64 * windowWords
	// maxSenders bounds the instances remembered. It is several times the
	// planned fleet, as replaced instances are remembered too.
	maxSenders = 4096
)

// replayGuard remembers which packets of each sending instance were seen.
//
// Without it, anyone who can copy packets could make an old "alive" or an old
// configuration head count again by sending it a second time. UDP may reorder,
// so a window of numbers below the highest one is kept rather than only the
// highest.
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
		g.makeRoom()
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

// slide raises the highest number and clears the places that numbers between
// the old one and the new one will use.
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

// makeRoom drops the sender that was silent for longest.
func (g *replayGuard) makeRoom() {
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
