package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a server in the list of discovery.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is the agent of one machine: it answers at once, and a watch when there is something newer.
type discovery struct {
	ln  net.Listener
	web *http.Server

	mu      sync.Mutex
	list    list
	changed chan struct{}
}

func startDiscovery(servers []entry) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{ln: ln, list: list{1, true, servers}, changed: make(chan struct{})}
	d.web = &http.Server{Handler: d}
	go d.web.Serve(ln)
	return d, nil
}

func (d *discovery) addr() string { return d.ln.Addr().String() }

func (d *discovery) close() { d.web.Close() }

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		now, changed := d.list, d.changed
		d.mu.Unlock()
		if err != nil || now.Version > after {
			json.NewEncoder(w).Encode(now)
			return
		}
		select {
		case <-changed:
		case <-end:
			json.NewEncoder(w).Encode(list{now.Version, false, []entry{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}
