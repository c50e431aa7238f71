package duty

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/endpoint"
)

func TestBalance(t *testing.T) {
	is := is.New(t)
	b := Balance{PrefillShare: 0.67, MinDecode: 2}
	var nine []*endpoint.Endpoint
	for i := range 9 {
		stage := endpoint.StageDecode
		if i < 4 {
			stage = endpoint.StagePrefill
		}
		nine = append(nine, engineAt("e"+strconv.Itoa(i), string(rune('a'+i%3)), stage))
	}
	orders := b.Orders(nine)
	is.Equal(len(orders), 2) // six of nine prefill
	is.Equal(orders[0].Stage, endpoint.StagePrefill)
	is.True(orders[0].Engine.Domain != orders[1].Engine.Domain)
	is.Equal(len(b.Orders(nine[:1])), 0)
	two := []*endpoint.Endpoint{engineAt("x", "a", endpoint.StageDecode), engineAt("y", "a", endpoint.StageDecode)}
	is.Equal(len(b.Orders(two)), 1) // each stage needs one
	is.Equal(b.Orders([]*endpoint.Endpoint{engineAt("x", "a", endpoint.StagePrefill), engineAt("y", "a", endpoint.StagePrefill)})[0].Stage, endpoint.StageDecode)
}
