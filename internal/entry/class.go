package entry

import (
	"net/http"

	"github.com/acacialink/acacialink/internal/queue"
)

// PriorityHeader names the class of a request: "interactive", "standard" or "batch".
const PriorityHeader = "X-Acacialink-Priority"

// classOf returns the class of a completion; callers wait for it unless they
// say otherwise.
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

// enginePriority is the priority that engines honour; higher goes first.
func enginePriority(class queue.Class) int {
	return int(queue.Batch - class)
}
