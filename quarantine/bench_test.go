package quarantine

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkStatus measures the lookup of a clear request, which every dispatch makes.
func BenchmarkStatus(b *testing.B) {
	l := NewLocalView()
	suspects := make([]uint64, 1000)
	for i := range suspects {
		suspects[i] = uint64(i)
	}
	l.Update(start, suspects, nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Status(start, uint64(1_000_000+i))
	}
}

// BenchmarkReportFailure measures reports of failures with 20 requests each to a full
// list.
func BenchmarkReportFailure(b *testing.B) {
	l := NewList(DefaultLimits())
	digests := make([]uint64, 20)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for j := range digests {
			digests[j] = uint64(i*len(digests) + j)
		}
		l.ReportFailure(at(float64(60*i)), FailureReport{Endpoint: fmt.Sprint(i), Incarnation: 1, Digests: digests})
	}
}

// BenchmarkReportDirectFailure measures reports of direct endpoints with 20 requests each to a full
// list, with the comparison of the lists that control makes, and the size of the list.
func BenchmarkReportDirectFailure(b *testing.B) {
	l := NewList(DefaultLimits())
	digests := make([]uint64, 20)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for j := range digests {
			digests[j] = uint64(i*len(digests) + j)
		}
		l.Fingerprint()
		l.ReportFailure(at(float64(60*i)), FailureReport{Endpoint: fmt.Sprint(i), Incarnation: 1, Digests: digests, Direct: true})
		l.Fingerprint()
	}
	data, err := cbor.Marshal(l.Image())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "image-bytes")
}

// BenchmarkReportParts is BenchmarkReportDirectFailure for requests with four parts each, of which one crashes the
// endpoints.
func BenchmarkReportParts(b *testing.B) {
	l := NewList(DefaultLimits())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := FailureReport{Endpoint: fmt.Sprint(i), Incarnation: 1, Direct: true}
		for j := range 20 {
			request := uint64(1_000_000 + i*20 + j)
			r.Digests = append(r.Digests, request)
			for k := range uint64(3) {
				r.Parts = append(r.Parts, PartReport{Digest: 1<<40 + request*4 + k, Carriers: []uint64{request}})
			}
		}
		r.Parts = append(r.Parts, PartReport{Digest: badPart, Carriers: r.Digests[:MinPartCarriers]})
		l.Fingerprint()
		l.ReportFailure(at(float64(i)), r)
		l.Fingerprint()
	}
	data, err := cbor.Marshal(l.Image())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "image-bytes")
}
