package admin

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// docs/API.md must list each error code and each endpoint.
func TestAPIDocumentationIsComplete(t *testing.T) {
	doc, err := os.ReadFile("../../../docs/API.md")
	require.NoError(t, err)
	source, err := os.ReadFile("../../serve/apierr/apierr.go")
	require.NoError(t, err)
	codes := regexp.MustCompile(`Code = "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	require.NotEmpty(t, codes)
	for _, code := range codes {
		assert.Contains(t, string(doc), "| `"+code[1]+"` |")
	}
	for _, r := range new(Server).apiRoutes() {
		assert.Contains(t, string(doc), "`"+r.method+" "+r.path)
	}
}
