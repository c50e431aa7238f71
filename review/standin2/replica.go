package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// replica is a replica. Each unframedEach-th of its streams has no length and ends with its
// connection; the others come in chunks. It reports that it drains at SIGUSR1, and leaves after
// its last answer at SIGTERM.
type replica struct {
	id, store, service, stage string
	pieces, unframedEach      int
	gap                       time.Duration
	plain                     bool
	addr                      string
	born                      int64

	mu       sync.Mutex
	draining bool
	sequence int
	orders   int
	streams  int
	running  sync.WaitGroup
}

func runReplica(args []string) error {
	r := &replica{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	flags.StringVar(&r.id, "id", "i-1", "the replica's id")
	flags.StringVar(&r.store, "store", "", "the store's address")
	flags.StringVar(&r.service, "service", "llm", "the service")
	flags.StringVar(&r.stage, "stage", "decode", "the stage")
	flags.IntVar(&r.pieces, "pieces", 40, "events of a stream")
	address := flags.String("listen", "127.0.0.1:0", "the address to listen on")
	flags.IntVar(&r.unframedEach, "unframed-each", 20, "which streams have no length")
	flags.DurationVar(&r.gap, "gap", 100*time.Millisecond, "time between events")
	flags.BoolVar(&r.plain, "plain", false, "answer with the service's name in place of a stream")
	if err := flags.Parse(args); err != nil {
		return err
	}
	l, err := listen(*address)
	if err != nil {
		return err
	}
	r.addr = l.Addr().String()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGTERM)
	go r.beat()
	go r.serve(l)
	for s := range signals {
		r.mu.Lock()
		r.draining = true
		r.mu.Unlock()
		r.report()
		say("draining", "")
		if s == syscall.SIGTERM {
			r.running.Wait()
			return nil
		}
	}
	return nil
}

// say writes a line to standard output, which the script records.
func say(what, id string) { fmt.Fprintln(os.Stdout, what, id) }

func (r *replica) beat() {
	for ; ; time.Sleep(1200 * time.Millisecond) {
		r.report()
	}
}

// report writes the replica's entry to the store.
func (r *replica) report() {
	r.mu.Lock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	fields := map[string]any{
		"service": r.service, "address": r.addr, "zone": "a", "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0,
		"sequence": r.sequence, "born": r.born,
	}
	if r.stage != "" {
		fields["stage"], fields["models"] = r.stage, []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	entry, _ := json.Marshal(fields)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.store+"/replica/"+r.id, bytes.NewReader(entry))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(call); err == nil {
		resp.Body.Close()
	}
}

func (r *replica) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.handle(c)
	}
}

// handle answers the requests of a connection.
func (r *replica) handle(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		r.running.Add(1)
		again := r.answer(c, request, body)
		r.running.Done()
		if !again {
			return
		}
	}
}

// answer answers one request and reports whether the connection carries another one.
func (r *replica) answer(c net.Conn, request *http.Request, body []byte) (again bool) {
	id := request.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + id + "\r\n"
	switch {
	case request.Header.Get("X-Expect-Replica") != "" && request.Header.Get("X-Expect-Replica") != r.id:
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", head, r.id)
		return true
	case request.URL.Path == "/api/report":
		r.mu.Lock()
		text := fmt.Sprintf(`{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":%d,"queued":0,"running":0,"kv_used":0,"kv_total":500000,"kv_handles":0}`, r.stage, r.orders)
		r.mu.Unlock()
		writeJSON(c, "", text)
		return true
	case request.URL.Path == "/api/order":
		r.order(c, body)
		return true
	case request.Method == http.MethodDelete:
		writeJSON(c, "", "{}")
		return true
	case id == "":
		fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case r.plain:
		say("runs", id)
		text := "served by " + r.service
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Replica-Seal: %s.%d\r\nContent-Length: %d\r\n\r\n%s", head, r.id, len(body), len(text), text)
		return true
	}
	r.mu.Lock()
	stage := r.stage
	r.mu.Unlock()
	prefill := request.Header.Get("X-Stage") == "prefill"
	if prefill != (stage == "prefill") {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		return true
	}
	if prefill {
		writeJSON(c, head, fmt.Sprintf(`{"kv_handle":"%s-%x","tokens":200,"version":1}`, id, r.born))
		return true
	}
	return r.stream(c, id, head, len(body))
}

// order carries out an order to change the stage.
func (r *replica) order(c net.Conn, body []byte) {
	var in struct {
		Stage string `json:"stage"`
	}
	if json.Unmarshal(body, &in) != nil || in.Stage == "" {
		fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return
	}
	r.mu.Lock()
	r.stage = in.Stage
	r.orders++
	r.mu.Unlock()
	r.report()
	fmt.Fprintf(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
}

func writeJSON(c net.Conn, head, text string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(text), text)
}

// stream answers with events and reports whether the connection carries another request.
func (r *replica) stream(c net.Conn, id, head string, size int) (again bool) {
	r.mu.Lock()
	r.streams++
	unframed := r.streams%r.unframedEach == unframedAt
	r.mu.Unlock()
	framing, format, end := "Transfer-Encoding: chunked\r\n", "%x\r\n%s\r\n", "0\r\n\r\n"
	if unframed {
		framing, end = "Connection: close\r\n", ""
		say("runs without length", id)
	} else {
		say("runs", id)
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Replica-Seal: %s.%d\r\nContent-Type: text/event-stream\r\n%s\r\n", head, r.id, size, framing)
	for i := 1; i <= r.pieces; i++ {
		time.Sleep(r.gap)
		piece := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", i, i, r.pieces)
		if !unframed {
			piece = fmt.Sprintf(format, len(piece), piece)
		}
		if _, err := io.WriteString(c, piece); err != nil {
			say("caller-left", id)
			return false
		}
	}
	_, _ = io.WriteString(c, end)
	say("whole", id)
	return !unframed
}

// unframedAt is the first stream of each unframedEach that has no length.
const unframedAt = 7
