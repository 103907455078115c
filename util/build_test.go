package util

import (
	"bytes"
	"runtime/debug"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// Logs that do not name the code that wrote them cannot be compared with it.
var _ = DescribeTable("A build is logged", func(settings []debug.BuildSetting, fields string) {
	var lines bytes.Buffer
	logger := zerolog.New(&lines)
	logger.Info().EmbedObject(Build{
		Version: "1.2.3",
	}.withSettings(settings)).Send()
	Expect(lines.String()).To(Equal(`{"level":"info","version":"1.2.3"` + fields + "}\n"))
},
	Entry("without a revision", nil, ""),
	Entry("with its revision", []debug.BuildSetting{
		{
			Key:   "vcs.revision",
			Value: "4f2a",
		},
		{
			Key:   "vcs.modified",
			Value: "true",
		},
	}, `,"revision":"4f2a","modified":true`),
)

var _ = Describe("The build of this process", func() {
	It("has the version of the programs", func() {
		Expect(ReadBuild().Version).To(Equal(Version))
	})
})
