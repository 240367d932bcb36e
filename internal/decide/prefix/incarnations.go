package prefix

// engineIncarnation identifies one incarnation of an engine.
type engineIncarnation struct {
	engine      uint64
	incarnation uint64
}

// incarnationTable interns engine incarnations, so that an entry of a table of chats
// refers to one in two bytes instead of sixteen. It counts the references to each slot,
// and reuses a slot without any.
type incarnationTable struct {
	slots []incarnationSlot
	free  []uint16
	index map[engineIncarnation]uint16
}

type incarnationSlot struct {
	engineIncarnation
	refCount int32
}

func newIncarnationTable() incarnationTable {
	return incarnationTable{index: make(map[engineIncarnation]uint16)}
}

// acquire returns the slot of e and adds a reference to it; ok is false if all slots
// are in use.
func (r *incarnationTable) acquire(e engineIncarnation) (uint16, bool) {
	i, ok := r.index[e]
	if !ok {
		i, ok = r.allocate()
		if !ok {
			return 0, false
		}
		r.slots[i] = incarnationSlot{engineIncarnation: e}
		r.index[e] = i
	}
	r.slots[i].refCount++
	return i, true
}

func (r *incarnationTable) allocate() (uint16, bool) {
	if n := len(r.free); n > 0 {
		i := r.free[n-1]
		r.free = r.free[:n-1]
		return i, true
	}
	if len(r.slots) == maxIncarnations {
		return 0, false
	}
	r.slots = append(r.slots, incarnationSlot{})
	return uint16(len(r.slots) - 1), true
}

func (r *incarnationTable) release(i uint16) {
	s := &r.slots[i]
	s.refCount--
	if s.refCount == 0 {
		delete(r.index, s.engineIncarnation)
		r.free = append(r.free, i)
	}
}
