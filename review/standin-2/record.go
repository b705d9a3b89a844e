package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		stop("create the record: %v", err)
	}
	return &record{file: file, began: time.Now()}
}

// add writes one line with the time since the start of the case.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

// print writes a line to the record and to standard output.
func (r *record) print(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// stop ends the program as the case could not run.
func stop(format string, values ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", values...)
	if running != nil {
		running.end()
	}
	os.Exit(2)
}
