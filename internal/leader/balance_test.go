package leader

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/acacialink/acacialink/internal/endpoint"
)

func TestBalanceOrders(t *testing.T) {
	is := is.New(t)
	b := Balance{PrefillShare: 0.67, MinDecode: 2}
	var engines []*endpoint.Endpoint
	for i := range 9 {
		stage := endpoint.StageDecode
		if i < 4 {
			stage = endpoint.StagePrefill
		}
		engines = append(engines, engineAt("e"+strconv.Itoa(i), string(rune('a'+i%3)), stage))
	}
	orders := b.Orders(engines)
	is.Equal(len(orders), 2) // target: 6 prefill engines of 9, 4 present
	is.Equal(orders[0].Stage, endpoint.StagePrefill)
	is.True(orders[0].Engine.Domain != orders[1].Engine.Domain)
	is.Equal(len(b.Orders(engines[:1])), 0)
	decodeEngines := []*endpoint.Endpoint{engineAt("x", "a", endpoint.StageDecode), engineAt("y", "a", endpoint.StageDecode)}
	is.Equal(len(b.Orders(decodeEngines)), 1) // each stage needs at least one engine
	is.Equal(b.Orders([]*endpoint.Endpoint{engineAt("x", "a", endpoint.StagePrefill), engineAt("y", "a", endpoint.StagePrefill)})[0].Stage, endpoint.StageDecode)
}
