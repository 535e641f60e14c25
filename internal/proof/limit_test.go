package proof_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"radishshed.example/radishshed/internal/simulator"
)

// Guards against routers that together send a target more than the rate that it names, and
// against requests that wait when nothing takes them: the same promise as that of the gateway
// (incident limit).
var _ = Describe("a target that names a request limit", Ordered, func() {
	const (
		limit   = 2.0
		settle  = 3 * time.Second
		watched = 8 * time.Second
		// maxRequests is 1.5 times what the limit allows in the watched time, and 5 more.
		maxRequests = 1.5*limit*8 + 5
		minRequests = 0.5 * limit * 8
	)
	var f *fleet
	var arrivals atomic.Int64
	var leaving atomic.Bool
	BeforeAll(func() {
		f = newFleet(3, 3)
		var routers []string
		for _, r := range f.routers() {
			routers = append(routers, r.callerAddress)
		}
		target := simulator.New(simulator.Config{
			Name: "limited-1", Address: freeAddress(), DataCentre: "a", Routers: routers, Key: targetKey, Services: []string{"assistant"},
			Capacity: 64, RequestLimit: limit, OnRequest: func() { arrivals.Add(1) }, SaysLeaving: leaving.Load, Log: zap.NewNop(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = target.Run(ctx) }) // ends with the context
		DeferCleanup(func() {
			cancel()
			running.Wait()
		})
		Eventually(func() bool { return isCompleteStream(f.chat("router-1", "first", 2), "first") }, eventuallyTimeout, pollInterval).Should(BeTrue())
	})

	// load sends 30 requests a second to all routers in turn, and returns the responses.
	load := func(period time.Duration) []result {
		var mutex sync.Mutex
		var results []result
		var pending sync.WaitGroup
		ticker := time.NewTicker(time.Second / 30)
		defer ticker.Stop()
		for i, end := 0, time.Now().Add(period); time.Now().Before(end); i++ {
			<-ticker.C
			pending.Go(func() {
				got := f.chat(fmt.Sprintf("router-%d", i%3+1), fmt.Sprintf("n%d", i), 2)
				mutex.Lock()
				defer mutex.Unlock()
				results = append(results, got)
			})
		}
		pending.Wait()
		return results
	}

	It("gets no more than that, and the rest is refused with the verdict notRun", func() {
		load(settle)
		before := arrivals.Load()
		results := load(watched)
		Expect(arrivals.Load() - before).To(And(BeNumerically("<=", maxRequests), BeNumerically(">=", minRequests)))
		refused := 0
		for _, r := range results {
			if r.status == http.StatusServiceUnavailable {
				refused++
				Expect(r.body).To(And(ContainSubstring("targetsLimited"), ContainSubstring("notRun")))
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
	})

	It("is relieved by a target without a limit", func() {
		f.addTarget("engine-free", "assistant")
		f.waitForSharedEntry("target/engine-free")
		load(settle)
		before := arrivals.Load()
		served := 0
		results := load(watched)
		for _, r := range results {
			if r.status == http.StatusOK {
				served++
			}
		}
		Expect(arrivals.Load() - before).To(BeNumerically("<=", maxRequests))
		Expect(served).To(BeNumerically(">=", len(results)*9/10))
	})

	It("gets nothing once it says that it leaves, though its announcements call it serving", func() {
		leaving.Store(true)
		load(settle) // some response of it has said so by then
		before := arrivals.Load()
		for _, r := range load(watched / 2) {
			Expect(r.status).To(Equal(http.StatusOK), r.body)
		}
		Expect(arrivals.Load()).To(Equal(before))
	})
})
