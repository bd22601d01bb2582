package control

// sharedCalls are the calls that wait for the commit of one proposal, by what it commits.
type sharedCalls[K comparable, V any] map[K][]reply[V]

// proposed reports whether the proposal for key waits for its commit.
func (c sharedCalls[K, V]) proposed(key K) bool { return len(c[key]) > 0 }

// join adds a call. It returns true if it is the first one, which has to propose.
func (c sharedCalls[K, V]) join(key K, done reply[V]) bool {
	waiting := c[key]
	c[key] = append(waiting, done)
	return len(waiting) == 0
}

// take removes and returns the calls in the order in which they came.
func (c sharedCalls[K, V]) take(key K) []reply[V] {
	waiting := c[key]
	delete(c, key)
	return waiting
}
