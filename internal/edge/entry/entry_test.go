package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func routers(sites ...string) []Router {
	var out []Router
	for i, site := range sites {
		out = append(out, Router{Name: fmt.Sprint(i), Site: site, Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return out
}

func TestAnswers(t *testing.T) {
	q := Question{Site: "x"}
	near := Answers(routers("x", "y", "x"), q, time.Second)
	require.Equal(t, []string{"10.0.0.0:1", "10.0.0.2:1"}, near.Addresses)
	require.Equal(t, time.Second, near.TTL)
	require.Len(t, Answers(routers("x", "y", "y"), q, time.Second).Addresses, 3, "one near router is not enough")
	require.Len(t, Answers(routers("y", "z"), q, time.Second).Addresses, 2)
	many := make([]string, 100)
	require.Len(t, Answers(routers(many...), Question{}, time.Second).Addresses, maxAddresses)
}
