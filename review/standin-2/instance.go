package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// instance is a stand-in of an application instance: it checks whom a request
// expects, runs it for the work time, and echoes its id.
type instance struct {
	id, service string
	addr        string
	work        time.Duration
	rec         *recorder
	srv         *http.Server

	mu   sync.Mutex
	runs map[string]int
}

func startInstance(id, service, addr string, work time.Duration, rec *recorder) (*instance, error) {
	in := &instance{id: id, service: service, addr: addr, work: work, rec: rec, runs: map[string]int{}}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	in.srv = &http.Server{Handler: in, IdleTimeout: 10 * time.Second}
	go in.srv.Serve(l)
	return in, nil
}

func (in *instance) entry(zone string) serverEntry {
	return serverEntry{Address: in.addr, Info: serverInfo{Service: in.service, Version: "v1", Zone: zone, Slots: 108},
		Status: serverStatus{State: "ready", Seq: 1, ColdLeft: "0ms"}}
}

func (in *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", in.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expected-Instance") != in.id {
		w.Header().Set("Instance-Id", in.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // not read whole: not run
	}
	in.mu.Lock()
	in.runs[id]++
	in.mu.Unlock()
	in.rec.line("run %s by %s of %s, path %s, %d bytes", id, in.id, in.service, r.URL.Path, n)
	time.Sleep(in.work)
	w.Header().Set("Response-Signature", in.id+"."+id)
	fmt.Fprintf(w, "%s %s %s", in.service, in.id, id)
}
