package suspect

import "time"

// answerSeconds is the number of seconds for which answers are counted.
const answerSeconds = 64

// answerCounter counts the answers of each service in the last seconds. It is not safe
// for concurrent use.
type answerCounter struct {
	startedAt time.Time
	services  map[string]*[answerSeconds]answerSecond
}

// answerSecond counts the answers of one second, numbered from the start.
type answerSecond struct{ second, count int }

func newAnswerCounter(now time.Time) *answerCounter {
	return &answerCounter{startedAt: now, services: make(map[string]*[answerSeconds]answerSecond)}
}

func (c *answerCounter) add(now time.Time, service string) {
	ring := c.services[service]
	if ring == nil {
		ring = new([answerSeconds]answerSecond)
		c.services[service] = ring
	}
	second := int(now.Sub(c.startedAt) / time.Second)
	slot := &ring[second%answerSeconds]
	if slot.second != second {
		*slot = answerSecond{second: second}
	}
	slot.count++
}

// since returns the number of answers of the service since a time, not counting those in
// the second of that time.
func (c *answerCounter) since(service string, at time.Time) int {
	ring := c.services[service]
	if ring == nil {
		return 0
	}
	from, sum := int(at.Sub(c.startedAt)/time.Second), 0
	for _, slot := range ring {
		if slot.second > from {
			sum += slot.count
		}
	}
	return sum
}
