package proof_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	openStreams      = 2000
	memoryLimitBytes = 200_000_000
)

// residentBytes returns how much memory a process uses.
func (f *fleet) residentBytes(name string) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", f.processes[name].command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }() // read-only
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if fields := strings.Fields(scanner.Text()); fields[0] == "VmRSS:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			return kilobytes << 10
		}
	}
	Fail("no VmRSS")
	return 0
}

var _ = Describe("a router with many open streams", func() {
	It("stays within 200 MB at 2,000 streams, and ends each of them whole", func() {
		f := newFleet(1, 1)
		f.addTarget("engine-1", "assistant", "--capacity", "4096", "--token-time", "300ms")
		var calls, begun sync.WaitGroup
		whole := make(chan bool, openStreams)
		begun.Add(openStreams)
		for i := range openStreams {
			calls.Go(func() {
				nonce := fmt.Sprintf("open%d", i)
				request, err := http.NewRequest(http.MethodPost, "http://"+f.processes["router-1"].caller+"/v1/chat/completions",
					strings.NewReader(chat(nonce, 40, true)))
				if err != nil {
					begun.Done()
					return
				}
				request.Header.Set("Authorization", "Bearer "+shopsKey)
				response, err := http.DefaultClient.Do(request)
				begun.Done()
				if err != nil {
					return
				}
				data := new(strings.Builder)
				_, err = bufio.NewReader(response.Body).WriteTo(data)
				_ = response.Body.Close() // everything has been read
				whole <- err == nil && strings.HasSuffix(data.String(), "data: [DONE]\n\n") && strings.Contains(data.String(), nonce)
			})
		}
		begun.Wait()
		used := f.residentBytes("router-1")
		GinkgoWriter.Printf("router with %d open streams: %d bytes\n", openStreams, used)
		Expect(used).To(BeNumerically("<", memoryLimitBytes))
		calls.Wait()
		close(whole)
		ended := 0
		for w := range whole {
			Expect(w).To(BeTrue())
			ended++
		}
		Expect(ended).To(Equal(openStreams))
	})
})
