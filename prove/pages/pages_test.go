// Package pages_test compares the documentation with running processes: exported
// metrics must be listed, and the examples must work.
package pages_test

import (
	"context"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/prove/cluster"
)

const docs = "../../docs/"

func TestPages(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pages")
}

var _ = AfterSuite(cluster.RemoveBuild)

func readPage(path string) string {
	b, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

func startAll() *cluster.Cluster {
	c, err := cluster.New(cluster.Config{
		Folder:        GinkgoT().TempDir(),
		Controllers:   1,
		Gateways:      1,
		SnapshotEvery: 10,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.Start()).To(Succeed())
	Expect(c.StartWorkers("w1", "kigali-1", 2)).To(Succeed())
	Expect(cluster.Eventually(20*time.Second, func() error {
		return c.PutContract(cluster.Contract("other", 1, 8, 0, 1))
	})).To(Succeed())
	return c
}

// metricNames returns the names of the project's metrics without labels and the
// suffixes of histograms.
func metricNames(body string) []string {
	var names []string
	for line := range strings.Lines(body) {
		name := regexp.MustCompile(`^[a-z_0-9]+`).FindString(line)
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		ours := strings.HasPrefix(name, "controller_") || strings.HasPrefix(name, "gateway_")
		if ours && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

var _ = Describe("METRICS.md", func() {
	It("lists exactly the metrics that the processes export", func() {
		c := startAll()
		for i := range 12 {
			Expect(c.PutContract(cluster.Contract("m", 0, 0, 0, 1+i).WithRevision(uint64(i)))).To(Succeed())
		}
		var exported []string
		for _, name := range []string{"c1", "g1"} {
			r, err := c.Do(context.Background(), http.MethodGet, name, "/metrics", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			exported = append(exported, metricNames(string(r.Body))...)
		}
		var listed []string
		for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)`").FindAllStringSubmatch(readPage(docs+"METRICS.md"), -1) {
			listed = append(listed, m[1])
		}
		Expect(exported).To(ConsistOf(listed))
	})
})

// example is the call of a curl command in the documentation.
type example struct {
	method, path, body string
	header             map[string]string
}

// parseCurl parses a curl command: -X, -H, -d and the path after $G.
func parseCurl(line string, tokens *strings.Replacer) example {
	e := example{
		method: http.MethodGet,
		header: map[string]string{},
	}
	pattern := regexp.MustCompile(`-X (\S+)|-H ["']([^:]+): ([^"']+)["']|-d '([^']*)'|\$G(\S+)`)
	for _, m := range pattern.FindAllStringSubmatch(line, -1) {
		switch {
		case m[1] != "":
			e.method = m[1]
		case m[2] != "":
			e.header[m[2]] = tokens.Replace(m[3])
		case m[4] != "":
			e.body = m[4]
		case m[5] != "":
			e.path = m[5]
		}
	}
	if e.body != "" && e.method == http.MethodGet {
		e.method = http.MethodPost
	}
	return e
}

func curlLines(page string) []string {
	joined := strings.ReplaceAll(page, "\\\n", " ")
	return regexp.MustCompile(`(?ms)^curl -s [^\n]*?(?:-d '[^']*'|$)`).FindAllString(joined, -1)
}

var _ = Describe("API.md", func() {
	It("has only curl examples that succeed", func() {
		c := startAll()
		Expect(c.StartMinion("m9", "kigali-1")).To(Succeed())
		Expect(c.PutContract(cluster.Contract("imanzi", 1, 8, 2, 8))).To(Succeed())
		tokens := strings.NewReplacer("$CALLER", cluster.CallerToken, "$MINION", cluster.MinionToken,
			"$WORKER", cluster.WorkerToken, "$OPERATOR", cluster.OperatorToken)
		lines := curlLines(readPage(docs + "API.md"))
		Expect(len(lines)).To(BeNumerically(">=", 10))
		for _, line := range lines {
			e := parseCurl(line, tokens)
			if strings.Contains(e.path, "contracts/imanzi") {
				// The page creates this contract, but the test had to create it earlier.
				e.body = strings.Replace(e.body, `"revision":0`, `"revision":1`, 1)
				e.body = strings.Replace(e.body, `"count":2`, `"count":1`, 1)
			}
			r, err := c.Do(context.Background(), e.method, "g1", e.path, []byte(e.body), e.header)
			Expect(err).NotTo(HaveOccurred(), line)
			Expect(r.Status).To(BeElementOf(http.StatusOK, http.StatusAccepted), "%s\n%s", line, r.Body)
		}
	})
})
