// Package route decides which endpoint a request goes to. It holds no
// connections and does no I/O: state and time go in, a decision comes out.
//
// A Set holds what one entry host knows of its endpoints, a Policy picks one
// of them, and a Router puts both behind one lock for concurrent callers.
package route
