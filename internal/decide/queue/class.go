package queue

import "strconv"

// Class is the priority class of a request; a smaller value is served first.
type Class uint8

// The named classes, highest priority first. A queue may have a different number of
// classes; see Config.Classes.
const (
	Urgent Class = iota
	High
	Normal
	Batch

	namedClasses = int(Batch) + 1
)

var classNames = [namedClasses]string{"urgent", "high", "normal", "batch"}

// String returns the name that callers and configurations use.
func (c Class) String() string {
	if !c.Valid() {
		return "class(" + strconv.Itoa(int(c)) + ")"
	}
	return classNames[c]
}

// Valid reports whether c has a name.
func (c Class) Valid() bool { return int(c) < namedClasses }

// ParseClass returns the class with the given name; the empty name means Normal. It
// returns a *ClassError for any other name.
func ParseClass(name string) (Class, error) {
	if name == "" {
		return Normal, nil
	}
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return Normal, &ClassError{Name: name}
}
