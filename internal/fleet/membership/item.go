package membership

import (
	"encoding/binary"
	"sort"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// Limits of broadcast items: their number, and the sizes of key and value in bytes. They keep
// the memory and traffic of a router independent of what others broadcast.
const (
	MaxItems     = 64
	MaxItemKey   = 64
	MaxItemValue = 256
)

// ErrItem is returned for an item that is invalid or exceeds one of the limits.
var ErrItem = errs.Class("membership: item rejected")

// Item is an opaque payload that is broadcast to all members. For each (Kind, Key) the highest
// Version wins.
type Item struct {
	Kind    uint8
	Key     string
	Version uint64
	Value   []byte
}

type itemKey struct {
	kind uint8
	key  string
}

func (i Item) id() itemKey { return itemKey{i.Kind, i.Key} }

// encodedSize returns an upper bound of the encoded size in bytes, 0 for the zero item.
func (i Item) encodedSize() int {
	if i.Version == 0 {
		return 0
	}
	const fixed = 18
	return fixed + len(i.Key) + len(i.Value)
}

func (i Item) hash() uint64 {
	buf := append([]byte{i.Kind}, i.Key...)
	return xxh3.Hash(binary.BigEndian.AppendUint64(buf, i.Version))
}

// itemStore holds the newest version of each item, sorted by kind and key.
type itemStore struct {
	list []Item
}

func (s *itemStore) find(k itemKey) (int, bool) {
	n := sort.Search(len(s.list), func(i int) bool {
		have := s.list[i].id()
		return have.kind > k.kind || have.kind == k.kind && have.key >= k.key
	})
	return n, n < len(s.list) && s.list[n].id() == k
}

func (s *itemStore) get(k itemKey) Item {
	if n, ok := s.find(k); ok {
		return s.list[n]
	}
	return Item{}
}

// Validate checks that the version is not 0 and that key and value are within their limits.
// Errors: ErrItem.
func (i Item) Validate() error {
	if i.Version == 0 || len(i.Key) > MaxItemKey || len(i.Value) > MaxItemValue {
		return ErrItem.New("kind %d: key of %d B, value of %d B or version %d out of range",
			i.Kind, len(i.Key), len(i.Value), i.Version)
	}
	return nil
}

// put stores the item if it is newer than the stored version, and reports whether it was.
func (s *itemStore) put(item Item) (bool, error) {
	if err := item.Validate(); err != nil {
		return false, err
	}
	n, ok := s.find(item.id())
	if ok && s.list[n].Version >= item.Version {
		return false, nil
	}
	if ok {
		s.list[n] = item
		return true, nil
	}
	if len(s.list) == MaxItems {
		return false, ErrItem.New("limit of %d items reached", MaxItems)
	}
	s.list = append(s.list, Item{})
	copy(s.list[n+1:], s.list[n:])
	s.list[n] = item
	return true, nil
}

func (s *itemStore) digest() uint32 {
	var sum uint64
	for _, item := range s.list {
		sum ^= item.hash()
	}
	return uint32(sum)
}

// Broadcast spreads an item to all members. It ignores an item that is not newer than the
// stored version. Errors: ErrItem.
func (d *Detector) Broadcast(item Item) error {
	_, err := d.acceptItem(item)
	return err
}

func (d *Detector) acceptItem(item Item) (bool, error) {
	updated, err := d.items.put(item)
	if !updated {
		return false, err
	}
	d.queue.add(broadcastKey{item: item.id()})
	d.updatedItems = append(d.updatedItems, item)
	return true, nil
}

// Items returns the newest known version of each item.
func (d *Detector) Items() []Item {
	return append([]Item(nil), d.items.list...)
}

// UpdatedItems returns the items that were stored since the last call, whether they came from
// another member or from Broadcast.
func (d *Detector) UpdatedItems() []Item {
	updated := d.updatedItems
	d.updatedItems = nil
	return updated
}
