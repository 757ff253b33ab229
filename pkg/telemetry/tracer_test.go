package telemetry

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"gypsumdock/pkg/settings"
)

// W3C traceparents with and without the sampled flag.
const (
	sampled    = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	notSampled = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00"
)

var _ = Describe("Tracer", func() {
	ctx := context.Background()

	It("creates one span for each hop, in one trace across instances", func() {
		recorder := tracetest.NewSpanRecorder()
		tracer := newTracer(0, "i1", sdktrace.WithSpanProcessor(recorder))
		callerCtx, callerSpan := tracer.StartSpan(tracer.Join(ctx, sampled), "caller.admit")
		meshCtx, meshSpan := tracer.StartSpan(callerCtx, "mesh.forward")
		_, upstreamSpan := tracer.StartSpan(tracer.Join(ctx, tracer.Inject(meshCtx)), "upstream.exchange")
		upstreamSpan.End(nil)
		meshSpan.End(nil)
		callerSpan.End(errors.New("cut"))
		var hops []string
		for _, span := range recorder.Ended() {
			hops = append(hops, span.Name()+" "+span.SpanKind().String())
			Expect(span.SpanContext().TraceID().String()).To(Equal("4bf92f3577b34da6a3ce929d0e0e4736"))
		}
		Expect(hops).To(Equal([]string{"upstream.exchange client", "mesh.forward client", "caller.admit server"}))
	})

	It("follows the caller's decision not to sample, and ignores a malformed traceparent", func() {
		recorder := tracetest.NewSpanRecorder()
		tracer := newTracer(1, "i1", sdktrace.WithSpanProcessor(recorder))
		_, span := tracer.StartSpan(tracer.Join(ctx, notSampled), "caller.admit")
		span.End(nil)
		Expect(recorder.Ended()).To(BeEmpty())
		_, span = tracer.StartSpan(tracer.Join(ctx, "00-zz"), "caller.admit")
		span.End(nil)
		Expect(recorder.Ended()).To(HaveLen(1))
	})

	It("does not allocate when tracing is off", func() {
		tracer, err := NewTracer(ctx, settings.Traces{Exporter: settings.TracesNone}, "i1")
		Expect(err).NotTo(HaveOccurred())
		Expect(tracer).To(BeNil())
		allocations := testing.AllocsPerRun(100, func() {
			callerCtx, span := tracer.StartSpan(tracer.Join(ctx, sampled), "caller.admit")
			_, upstream := tracer.StartSpan(callerCtx, tracer.Inject(callerCtx))
			upstream.End(nil)
			span.End(nil)
		})
		Expect(allocations).To(BeZero())
		Expect(tracer.Shutdown(ctx)).To(Succeed())
	})
})
