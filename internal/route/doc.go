// Package route decides which endpoint serves a request. It holds no
// connections and performs no I/O: decisions are a function of the recorded
// state and the given time.
//
// A Set holds an entry host's cached state of its endpoints, a Policy picks one
// of them, and a Router guards both with one lock for concurrent callers.
package route
