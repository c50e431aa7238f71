package entry

import (
	"net/http"

	"github.com/acacialink/acacialink/internal/queue"
)

// PriorityHeader is the request header for the priority class: "interactive",
// "standard" or "batch".
const PriorityHeader = "X-Acacialink-Priority"

// classOf returns the priority class of a completion request. The default is
// interactive, since callers usually wait for the response.
func classOf(r *http.Request) (queue.Class, error) {
	name := r.Header.Get(PriorityHeader)
	if name == "" {
		return queue.Interactive, nil
	}
	class, ok := queue.ParseClass(name)
	if !ok {
		return 0, badRequest("invalid_priority", "the header "+PriorityHeader+" must be interactive, standard or batch")
	}
	return class, nil
}

// enginePriority maps a class to the priority sent to engines; higher values run
// first.
func enginePriority(class queue.Class) int {
	return int(queue.Batch - class)
}
