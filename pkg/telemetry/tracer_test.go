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

const (
	sampled    = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	notSampled = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00"
)

var _ = DescribeTable("Traceparent",
	func(statement, expected string) {
		Expect(Traceparent(statement)).To(Equal(expected))
	},
	Entry("at the end", "SELECT 1 /*route='free',traceparent='"+sampled+"'*/;", sampled),
	Entry("at the start", " /*traceparent='"+sampled+"'*/ SELECT '/*'", sampled),
	Entry("URL-encoded", "SELECT 1 /*traceparent='00%2D1'*/", "00-1"),
	Entry("in no comment", "SELECT traceparent='"+sampled+"'", ""),
	Entry("not quoted", "SELECT 1 /*traceparent="+sampled+"*/", ""),
	Entry("cut", "/*traceparent='", ""),
	Entry("empty", "", ""),
)

var _ = Describe("Tracer", func() {
	ctx := context.Background()

	It("makes one span for each hop of one trace, across instances", func() {
		recorder := tracetest.NewSpanRecorder()
		tracer := newTracer(0, "i1", sdktrace.WithSpanProcessor(recorder))
		callerCtx, callerSpan := tracer.Caller(ctx, sampled, "desk", "plugs")
		meshCtx, meshSpan := tracer.Mesh(callerCtx, "i2")
		remoteCtx, remoteSpan := tracer.Forwarded(ctx, tracer.Inject(meshCtx), "i1")
		_, upstreamSpan := tracer.Upstream(remoteCtx, "a")
		upstreamSpan.End("ran", nil)
		remoteSpan.End("ran", nil)
		meshSpan.End("ran", nil)
		callerSpan.End("may have run", errors.New("cut"))
		var names []string
		for _, span := range recorder.Ended() {
			names = append(names, span.Name())
			Expect(span.SpanContext().TraceID().String()).To(Equal("4bf92f3577b34da6a3ce929d0e0e4736"))
		}
		Expect(names).To(Equal([]string{"upstream", "mesh", "mesh", "caller"}))
	})

	It("follows the caller's decision not to sample", func() {
		recorder := tracetest.NewSpanRecorder()
		tracer := newTracer(1, "i1", sdktrace.WithSpanProcessor(recorder))
		_, span := tracer.Caller(ctx, notSampled, "desk", "plugs")
		span.End("ran", nil)
		Expect(recorder.Ended()).To(BeEmpty())
	})

	It("costs no allocation when it is off", func() {
		tracer, err := NewTracer(ctx, settings.Traces{Exporter: settings.TracesNone}, "i1")
		Expect(err).NotTo(HaveOccurred())
		Expect(tracer).To(BeNil())
		allocations := testing.AllocsPerRun(100, func() {
			callerCtx, span := tracer.Caller(ctx, "", "desk", "plugs")
			_, upstream := tracer.Upstream(callerCtx, tracer.Inject(callerCtx))
			upstream.End("ran", nil)
			span.End("ran", nil)
		})
		Expect(allocations).To(BeZero())
		Expect(tracer.Shutdown(ctx)).To(Succeed())
	})
})
