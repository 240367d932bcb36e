package forward

// valueOf returns the value of a key, which it creates if there is none.
func valueOf[K comparable, V any](m map[K]*V, key K) *V {
	value := m[key]
	if value == nil {
		value = new(V)
		m[key] = value
	}
	return value
}
