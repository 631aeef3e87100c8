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
	slow    time.Duration // every answer comes so much later
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

// slowDown makes every answer from now on come so much later.
func (d *discovery) slowDown(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = by
}

// drain tells that a server drains, to watches too. It returns when.
func (d *discovery) drain(id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := append([]entry(nil), d.list.Servers...)
	for i := range servers {
		if servers[i].ID == id {
			servers[i].State = "draining"
		}
	}
	d.list = list{d.list.Version + 1, true, servers}
	close(d.changed)
	d.changed = make(chan struct{})
	return time.Now()
}

// answer writes a list, late if the answers are slow.
func (d *discovery) answer(w http.ResponseWriter, r *http.Request, l list) {
	d.mu.Lock()
	slow := d.slow
	d.mu.Unlock()
	select {
	case <-time.After(slow):
		json.NewEncoder(w).Encode(l)
	case <-r.Context().Done():
	}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		now, changed := d.list, d.changed
		d.mu.Unlock()
		if err != nil || now.Version > after {
			d.answer(w, r, now)
			return
		}
		select {
		case <-changed:
		case <-end:
			d.answer(w, r, list{now.Version, false, []entry{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}
