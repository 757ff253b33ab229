package pgfront_test

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/traffic"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/pgback"
	"gypsumdock/pkg/transport/pgforward"
	"gypsumdock/pkg/transport/pgfront"
	"gypsumdock/pkg/verdict"
)

// loopbackMesh forwards units to one lender over loopback connections.
type loopbackMesh struct {
	lender      *pgforward.Lender
	streams     chan net.Conn
	unreachable bool
	// served counts the units that have ended at the lender.
	served atomic.Int32
}

func (m *loopbackMesh) Forward(_ model.InstanceID, open *meshpb.ForwardOpen) (net.Conn, error) {
	if m.unreachable {
		return nil, errors.New("peer is unreachable")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	far, err := listener.Accept()
	if err != nil {
		return nil, err
	}
	go func() {
		m.lender.Serve(context.Background(), "a", open, far)
		m.served.Add(1)
	}()
	select {
	case m.streams <- near:
	default:
	}
	return near, nil
}

var _ = Describe("a forwarded unit of work", func() {
	var (
		b     *testbed
		mesh  *loopbackMesh
		pools *pgback.Pools
		ctx   = context.Background()
	)

	BeforeEach(func() {
		lent, err := pgback.New(pgback.Config{DefaultLimit: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(lent.Close)
		pools = lent
		mesh = &loopbackMesh{streams: make(chan net.Conn, 1)}
		b = newTestbed(0, func(c *pgfront.Config) {
			mesh.lender = pgforward.NewLender(pools, c.Engine)
			c.Backends = pgforward.NewBorrower(c.Backends, mesh, nil)
		})
		b.engine.OnAdmit = func(t *traffic.Ticket) *verdict.Error {
			t.ForwardTo = "b"
			return nil
		}
	})

	It("runs on the lender's connection, which is reset and used again", func() {
		conn := b.connect(nil)
		for range 3 {
			Expect(queryText(conn, "select $1", "x")).To(Equal("x"))
		}
		tx, err := conn.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "insert $1", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(tx.Commit(ctx)).To(Succeed())
		Expect(b.engine.AcknowledgedPositions()).To(HaveLen(1))
		Expect(b.upstream.accepted.Load()).To(BeEquivalentTo(1))
		Expect(b.upstream.log()).To(ContainElement("DISCARD ALL"))
		Expect(b.pools.Stats()).To(BeEmpty())
	})

	It("streams a large result", func() {
		conn := b.connect(simpleProtocol)
		rows, err := conn.Query(ctx, "select rows 20000")
		Expect(err).NotTo(HaveOccurred())
		count := 0
		for rows.Next() {
			count++
		}
		Expect(rows.Err()).NotTo(HaveOccurred())
		Expect(count).To(Equal(20000))
	})

	It("is reported as may have run when the upstream or the peer is lost", func() {
		conn := b.connect(simpleProtocol)
		_, err := conn.Exec(ctx, "die now")
		Expect(sqlStateOf(err)).To(Equal("08007"))
		<-mesh.streams
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(ctx, "insert pause; select pause")
			done <- err
		}()
		Eventually(b.upstream.paused).Should(BeTrue())
		Expect((<-mesh.streams).Close()).To(Succeed())
		Expect(sqlStateOf(<-done)).To(Equal("08007"))
		Eventually(mesh.served.Load).Should(BeEquivalentTo(2))
		Expect(pools.StatsOf("plugs-1").Idle).To(BeZero())
		b.upstream.resume()
		Eventually(b.upstream.openConns).Should(BeZero())
	})

	It("can be cancelled", func() {
		conn := b.connect(simpleProtocol)
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(ctx, "select wait")
			done <- err
		}()
		Eventually(b.upstream.log).Should(ContainElement("select wait"))
		Expect(conn.PgConn().CancelRequest(ctx)).To(Succeed())
		Expect(sqlStateOf(<-done)).To(Equal("57014"))
		Expect(queryText(conn, "select on")).To(Equal("on"))
		Expect(b.upstream.accepted.Load()).To(BeEquivalentTo(1))
	})

	It("is not run if the peer can't be reached or has no free connection", func() {
		conn := b.connect(simpleProtocol)
		mesh.unreachable = true
		_, err := conn.Exec(ctx, "insert a")
		Expect(sqlStateOf(err)).To(Equal("08006"))
		mesh.unreachable = false
		pools.SetLimit("plugs-1", 0)
		b.engine.OnAdmit = func(t *traffic.Ticket) *verdict.Error {
			t.ForwardTo = "b"
			t.Deadline = time.Now().Add(50 * time.Millisecond)
			return nil
		}
		_, err = conn.Exec(ctx, "insert a")
		Expect(sqlStateOf(err)).To(BeElementOf("53300", "08006"))
		Expect(b.upstream.log()).To(BeEmpty())
		Expect(b.engine.InFlight()).To(BeZero())
	})
})
