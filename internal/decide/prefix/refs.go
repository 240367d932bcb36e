package prefix

// engineRef is one incarnation of an engine.
type engineRef struct {
	engine      uint64
	incarnation uint64
}

// refs interns engine incarnations, so that an entry spends two bytes on one
// instead of sixteen. It counts uses and takes a slot again once none is left.
type refs struct {
	slots []refSlot
	free  []uint16
	index map[engineRef]uint16
}

type refSlot struct {
	engineRef
	count int32
}

func newRefs() refs {
	return refs{index: make(map[engineRef]uint16)}
}

// acquire returns the slot of e with one more use. It fails if all are taken.
func (r *refs) acquire(e engineRef) (uint16, bool) {
	i, ok := r.index[e]
	if !ok {
		i, ok = r.take()
		if !ok {
			return 0, false
		}
		r.slots[i] = refSlot{engineRef: e}
		r.index[e] = i
	}
	r.slots[i].count++
	return i, true
}

func (r *refs) take() (uint16, bool) {
	if n := len(r.free); n > 0 {
		i := r.free[n-1]
		r.free = r.free[:n-1]
		return i, true
	}
	if len(r.slots) == maxRefs {
		return 0, false
	}
	r.slots = append(r.slots, refSlot{})
	return uint16(len(r.slots) - 1), true
}

func (r *refs) release(i uint16) {
	s := &r.slots[i]
	s.count--
	if s.count == 0 {
		delete(r.index, s.engineRef)
		r.free = append(r.free, i)
	}
}
