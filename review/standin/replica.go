package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// replica is a stand-in for a replica of a plain service or a model replica.
type replica struct {
	id, stage string
	// work is the time that a plain request takes. longWork is that of one whose path
	// ends in "long".
	work, longWork time.Duration
	// events is the number of events of a stream, gap the time between them.
	events int
	gap    time.Duration
	// unframed is set if answers have no length and end with their connection.
	unframed bool
	// foreign is set for a server that is no replica.
	foreign bool
}

// runReplica serves until the process is killed. It prints what it ran.
func runReplica(args []string) error {
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	r := &replica{}
	address := flags.String("address", "", "the address to listen on")
	flags.StringVar(&r.id, "id", "", "the replica's id")
	flags.StringVar(&r.stage, "stage", "", "prefill or decode; empty for a plain service")
	flags.DurationVar(&r.work, "work", 60*time.Millisecond, "time that a plain request takes")
	flags.DurationVar(&r.longWork, "long", 60*time.Millisecond, "time that a long plain request takes")
	flags.IntVar(&r.events, "events", 0, "number of events of a stream")
	flags.DurationVar(&r.gap, "gap", 0, "time between two events")
	flags.BoolVar(&r.unframed, "unframed", false, "answers end with their connection")
	flags.BoolVar(&r.foreign, "foreign", false, "the server is no replica")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", *address) //nolint:noctx // listens as long as the process lives
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	if r.foreign {
		mux.HandleFunc("/", r.serveForeign)
		return serve(listener, mux)
	}
	mux.HandleFunc("GET /api/report", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"stage": r.stage, "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 500000, "kv_handles": 0})
	})
	mux.HandleFunc("POST /api/order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) })
	mux.HandleFunc("DELETE /api/kv-handle/{id}", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", r.serve)
	return serve(listener, mux)
}

func serve(listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(listener)
}

// serveForeign runs a request and answers as a server does that is no replica.
func (r *replica) serveForeign(w http.ResponseWriter, req *http.Request) {
	r.print("runs %s", req.Header.Get("X-Attempt-Id"))
	_, _ = io.WriteString(w, "done\n")
}

// print writes one line of the record to standard output.
func (r *replica) print(format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stdout, "%s: %s\n", r.id, fmt.Sprintf(format, args...))
}

// event returns the event with the number n of a request's stream.
func event(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, request, n)
}

// plainBody returns the whole body of a plain answer.
func plainBody(request string) string {
	return "receipt of " + request + " " + strings.Repeat(".", 800) + " end\n"
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if req.Header.Get("X-Expect-Replica") != r.id {
		w.Header().Set("X-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if req.Header.Get("X-Stage") == "prefill" {
		if r.stage != "prefill" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"kv_handle": "h" + id, "tokens": 100, "version": 1})
		return
	}
	if r.stage == "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Replica-Seal", r.id+"."+id)
	r.print("runs %s", id)
	ctx, cancel := r.deadline(req)
	defer cancel()
	if r.stage == "" {
		r.servePlain(ctx, w, req, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	write, end, breakOff, err := r.streamWriter(w)
	if err != nil {
		return
	}
	defer end()
	for n := after + 1; n <= r.events; n++ {
		if n > after+1 && !pause(ctx, r.gap) {
			r.print("stops %s after piece %d: its connection was closed or its deadline passed", id, n-1)
			breakOff()
			return
		}
		if write(event(id, n)) != nil {
			r.print("stops %s at piece %d: its connection was closed", id, n)
			return
		}
		r.print("has sent piece %d of %d of %s", n, r.events, id)
	}
	r.print("ends %s", id)
}

// deadline returns a context that ends when the caller leaves or no longer waits.
func (r *replica) deadline(req *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	if err != nil {
		return context.WithCancel(req.Context())
	}
	return context.WithTimeout(req.Context(), time.Duration(ms)*time.Millisecond)
}

func (r *replica) servePlain(ctx context.Context, w http.ResponseWriter, req *http.Request, id string) {
	work := r.work
	if strings.HasSuffix(req.URL.Path, "long") {
		work = r.longWork
	}
	if !pause(ctx, work) {
		r.print("stops %s: its connection was closed or its deadline passed", id)
		panic(http.ErrAbortHandler)
	}
	r.print("has done the work of %s", id)
	body := plainBody(id)
	if r.unframed {
		r.writeHalves(ctx, w, id, body)
		return
	}
	_, _ = io.WriteString(w, body)
	r.print("ends %s", id)
}

// halfGap is the time between the halves of an answer that ends with its connection.
const halfGap = 300 * time.Millisecond

// writeHalves writes an answer that ends with its connection in two halves.
func (r *replica) writeHalves(ctx context.Context, w http.ResponseWriter, id, body string) {
	write, end, breakOff, err := r.streamWriter(w)
	if err != nil || write(body[:len(body)/2]) != nil {
		return
	}
	defer end()
	r.print("has sent the first half of the answer to %s", id)
	if !pause(ctx, halfGap) || write(body[len(body)/2:]) != nil {
		breakOff()
		return
	}
	r.print("ends %s", id)
}

// streamWriter returns functions that write to the stream, end it and break it off.
func (r *replica) streamWriter(w http.ResponseWriter) (write func(string) error, end, breakOff func(), err error) {
	control := http.NewResponseController(w)
	if !r.unframed {
		return func(text string) error {
			if _, err := io.WriteString(w, text); err != nil {
				return err
			}
			return control.Flush()
		}, func() {}, func() { panic(http.ErrAbortHandler) }, nil
	}
	conn, buffered, err := control.Hijack()
	if err != nil {
		return nil, nil, nil, err
	}
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name, values := range w.Header() {
		head += name + ": " + values[0] + "\r\n"
	}
	out := bufio.NewWriter(conn)
	_, _ = buffered.Discard(buffered.Reader.Buffered())
	first := true
	return func(text string) error {
		if first {
			first, text = false, head+"\r\n"+text
		}
		if _, err := out.WriteString(text); err != nil {
			return err
		}
		return out.Flush()
	}, func() { conn.Close() }, func() { reset(conn) }, nil
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// pause waits for d and reports whether ctx lasted as long.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
