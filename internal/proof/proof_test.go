// Package proof proves the promises of the fleet with real processes that are
// killed, frozen and cut off from each other.
package proof_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// program is the program under test, built once.
var program string

func TestProofs(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "proofs", suite, reporter)
}

var _ = BeforeSuite(func() {
	folder, err := os.MkdirTemp("", "radishshed")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, folder)
	program = filepath.Join(folder, "radishshed")
	output, err := exec.Command("go", "build", "-o", program, "radishshed.example/radishshed/cmd/radishshed").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})
