package main

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/services/lavplacement"
	"lavenderswitch/core/services/lavspread"
)

// repeats is the number of repetitions whose mean time is reported.
const repeats = 5

// measureConfig measures how the configuration document grows with the number of rows in each of its tables.
func measureConfig(r *report) error {
	dimensions := []struct {
		size  string
		build func(n int) *lavconfig.Document
		sizes []int
	}{
		{"backend server", func(n int) *lavconfig.Document { return document(n, designAccounts, designVersions) }, []int{150, 300, 600, 1200}},
		{"client account", func(n int) *lavconfig.Document { return document(designServers, n, designVersions) }, []int{20, 60, 200, 600}},
		{"version", func(n int) *lavconfig.Document { return document(designServers, designAccounts, n) }, []int{5, 15, 30}},
	}
	for _, dimension := range dimensions {
		plain := r.series("document", "bytes", dimension.size)
		packed := r.series("document compressed", "bytes", dimension.size)
		adopt := r.series("adopt from patch", "ms", dimension.size)
		check := r.series("accept a patch", "ms", dimension.size)
		heap := r.series("document in memory", "bytes", dimension.size)
		for _, n := range dimension.sizes {
			built := dimension.build(n)
			data, compressed, err := encode(built)
			if err != nil {
				return err
			}
			plain.add(float64(n), float64(data))
			packed.add(float64(n), float64(compressed))
			took, err := buildTime(built, lavspread.Rebuild)
			if err != nil {
				return err
			}
			adopt.add(float64(n), took.Seconds()*1000)
			took, err = buildTime(built, lavspread.Build)
			if err != nil {
				return err
			}
			check.add(float64(n), took.Seconds()*1000)
			heap.add(float64(n), heapOf(func() any { return dimension.build(n) }))
		}
	}
	return measurePlacement(r)
}

// measurePlacement measures the time to place versions on all backend servers.
func measurePlacement(r *report) error {
	assign := r.series("placement of the fleet", "ms", "backend server")
	for _, n := range []int{150, 300, 600, 1200} {
		built := document(n, 1, designVersions)
		live := serverIDs(built)
		began := time.Now()
		for range repeats {
			lavplacement.Assign(built, live)
		}
		assign.add(float64(n), time.Since(began).Seconds()*1000/repeats)
	}
	return nil
}

// encode returns the sizes of the document as JSON, without and with compression.
func encode(built *lavconfig.Document) (plain, compressed int, err error) {
	data, err := json.Marshal(built)
	if err != nil {
		return 0, 0, errors.Wrap(err, "encode configuration")
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(data); err != nil {
		return 0, 0, errors.Wrap(err, "compress configuration")
	}
	err = writer.Close()
	return len(data), buffer.Len(), errors.Wrap(err, "compress configuration")
}

// builder applies a patch to a document.
type builder func(base *lavconfig.Document, patch lavspread.Patch) (*lavconfig.Document, error)

// buildTime returns the mean time to apply a patch that changes one backend server to a document.
func buildTime(built *lavconfig.Document, build builder) (time.Duration, error) {
	patch := lavspread.Patch{
		ID: "patch", Base: built.Number,
		Operations: json.RawMessage(`[{"op":"replace","path":"/BackendServers/engine-0001/State","value":"OutOfService"}]`),
	}
	began := time.Now()
	for range repeats {
		if _, err := build(built, patch); err != nil {
			return 0, err
		}
	}
	return time.Since(began) / repeats, nil
}

// heapOf returns the heap bytes that the result of build retains.
func heapOf(build func() any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
