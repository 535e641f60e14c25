package proof_test

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a data centre that is cut off", Ordered, func() {
	var f *fleet
	var served []string
	cutOff := []string{"router-3", "router-4", "router-5"}
	BeforeAll(func() {
		f = newFleet(3, 5)
		f.addTarget("engine-1", "assistant", "--capacity", "64")
		for _, router := range cutOff {
			Eventually(func() bool { return isWholeStream(f.chat(router, "warm", 3), "warm") }, patience, pollEvery).Should(BeTrue())
		}
		for _, router := range cutOff {
			Eventually(func() int64 { return f.holding(router) }, patience, pollEvery).Should(BeNumerically(">", f.prepaid/10))
		}
	})

	serveThrough := func(router string, n int) {
		for i := range n {
			nonce := fmt.Sprintf("cut%s%d", router[len(router)-1:], i)
			a := f.chat(router, nonce, 3)
			Expect(isWholeStream(a, nonce)).To(BeTrue(), a.body)
			served = append(served, a.request)
		}
	}

	It("goes on spending what its routers hold", func() {
		f.cuts.isolate(1, cutOff...)
		for _, router := range cutOff {
			Eventually(func() string {
				a := f.chat(router, "first", 3)
				if isWholeStream(a, "first") {
					served = append(served, a.request)
					return "served"
				}
				return a.body
			}, patience, pollEvery).Should(Equal("served"))
			serveThrough(router, 5)
		}
	})

	It("runs nothing there that may not be repeated, and gives no false verdict", func() {
		f.addTarget("booking-1", "bookings")
		a := f.book("router-3", "cutbooking", newKey("cutbooking"))
		Expect(a.whole()).To(BeFalse())
		Expect(f.runs("booking-1")[`{"nonce":"cutbooking"}`]).To(BeZero())
	})

	It("sends nothing new to a target that is leaving, on either side, after a few seconds", func() {
		f.addTarget("engine-2", "assistant", "--capacity", "64")
		f.signal("engine-2", syscall.SIGTERM)
		time.Sleep(3 * time.Second) // the promise: nothing new after this
		for i := range 20 {
			router := []string{"router-1", "router-3"}[i%2]
			nonce := fmt.Sprintf("leaving%d", i)
			a := f.chat(router, nonce, 2)
			Expect(isWholeStream(a, nonce)).To(BeTrue(), a.body)
			served = append(served, a.request)
			Expect(f.isRunning("engine-2", nonce)()).To(BeFalse(), router)
		}
	})

	It("takes a top-up on the other side, and keeps what is in force here", func() {
		f.prepaid += 1_000_000
		before := f.status(f.processes["router-3"]).Ticket
		f.submitNext()
		Eventually(func() uint64 { return f.status(f.processes["router-1"]).Ticket }, patience, pollEvery).Should(BeEquivalentTo(f.ticket))
		Expect(f.status(f.processes["router-3"]).Ticket).To(Equal(before))
	})

	It("bills each request once after the cut, also those of a router that died in it", func() {
		serveThrough("router-4", 5)
		f.kill("router-4")
		// Only one router is left that could hold an intent, which is too few.
		refused := f.chat("router-3", "unheld", 3)
		Expect(refused.verdict).To(Equal("notRun"), refused.body)
		Expect(f.isRunning("engine-1", "unheld")()).To(BeFalse())
		f.cuts.heal()
		healed := time.Now()
		Eventually(func() uint64 { return f.status(f.processes["router-3"]).Ticket }, patience, pollEvery).Should(BeEquivalentTo(f.ticket))
		GinkgoWriter.Println("ticket in force after the cut:", time.Since(healed))
		f.start("router-4")
		Eventually(func() []string { return f.unbilled(served) }, patience, pollEvery).Should(BeEmpty())
		s := f.statement("frascoteca", "frascoteca/shops")
		for request, times := range f.billed("frascoteca", "frascoteca/shops") {
			Expect(times).To(Equal(1), request)
		}
		Expect(s.Charged).To(BeNumerically("<=", s.Prepaid))
	})
})

// holding returns what a router holds of the shops' budget.
func (f *fleet) holding(router string) int64 {
	for _, h := range f.statement("frascoteca", "frascoteca/shops").Holdings {
		if strings.HasPrefix(h.Router, router+"@") {
			return h.Unspent
		}
	}
	return 0
}

// unbilled returns the requests that are not on the account.
func (f *fleet) unbilled(requests []string) []string {
	billed := f.billed("frascoteca", "frascoteca/shops")
	missing := []string{}
	for _, request := range requests {
		if billed[request] == 0 {
			missing = append(missing, request)
		}
	}
	return missing
}
