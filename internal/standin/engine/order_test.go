package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/acacialink/acacialink/internal/backing"
	"github.com/acacialink/acacialink/internal/standin/engine"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func roleOrder(id string, fence int64, role backing.Role) backing.Order {
	return backing.Order{ID: id, Fence: fence, Kind: backing.OrderSetRole, Role: role, Issuer: "north"}
}

func TestRoleChangeDrainsAndRefusesNewGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := engine.New(engine.Options{Models: []string{"m"}})
		running := startGenerate(e, newGeneration("a", 100, 100))
		applied := make(chan error, 1)
		go func() { applied <- e.Apply(t.Context(), roleOrder("o1", 1, backing.RoleDecode)) }()
		synctest.Wait()
		is.True(errors.Is(generate(e, newGeneration("b", 100, 1), -1).err, backing.ErrUnavailable))
		is.True(errors.Is(e.Apply(t.Context(), roleOrder("o2", 1, backing.RolePrefill)), backing.ErrUnavailable))
		is.NoErr((<-running).err)
		is.Equal(e.Role(), backing.RoleMixed)
		start := time.Now()
		is.NoErr(<-applied)
		is.Equal(time.Since(start), 5*time.Second)
		is.Equal(e.Role(), backing.RoleDecode)
		orders := e.Record().Orders
		is.Equal(len(orders), 2)
		is.True(!orders[0].Overlaps)
		is.True(orders[1].Overlaps)
	})
}

func TestChecksFencingOption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, checks := range []bool{true, false} {
			e := engine.New(engine.Options{Models: []string{"m"}, ChecksFencing: checks})
			is.NoErr(e.Apply(t.Context(), roleOrder("new", 7, backing.RoleDecode)))
			err := e.Apply(t.Context(), roleOrder("old", 6, backing.RoleMixed))
			is.Equal(errors.Is(err, backing.ErrFenced), checks)
			is.Equal(e.Role() == backing.RoleDecode, checks)
			is.Equal(e.Record().Orders[1].HighestFence, int64(7))
		}
	})
}

func TestRepeatedOrderExecutesOnceAndCrashDiscardsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := engine.New(engine.Options{Models: []string{"m"}})
		e.SetFaults(engine.Faults{LoseOrderAnswers: 1})
		order := backing.Order{ID: "o1", Kind: backing.OrderLoadModel, Model: "n"}
		is.True(errors.Is(e.Apply(t.Context(), order), backing.ErrUnknown))
		start := time.Now()
		is.NoErr(e.Apply(t.Context(), order))
		is.Equal(time.Since(start), time.Duration(0)) // the first one has taken effect
		is.True(e.Record().Orders[1].Repeat)

		running := startGenerate(e, newGeneration("a", 100, 1_000))
		e.SetFaults(engine.Faults{CrashMidOrder: true})
		is.True(errors.Is(e.Apply(t.Context(), backing.Order{ID: "o2", Kind: backing.OrderLoadModel, Model: "p"}), backing.ErrUnknown))
		is.True(errors.Is((<-running).err, backing.ErrUnknown))
		_, err := e.Load(t.Context())
		is.True(errors.Is(err, backing.ErrUnavailable))
		e.SetFaults(engine.Faults{})
		time.Sleep(time.Second)
		load, err := e.Load(t.Context())
		is.NoErr(err)
		is.Equal(load.Models, []string{"m"})
	})
}

func TestHungEngineAnswersNothingUntilResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := engine.New(engine.Options{Models: []string{"m"}})
		running := startGenerate(e, newGeneration("a", 100, 100))
		time.Sleep(time.Second)
		e.SetFaults(engine.Faults{Hung: true})
		late := make(chan error, 1)
		go func() { late <- e.Apply(t.Context(), roleOrder("o", 1, backing.RoleDecode)) }()
		time.Sleep(time.Hour)
		is.Equal(len(e.Record().Orders), 0)
		select {
		case <-running:
			t.Fatal("a hung engine ended a generation")
		default:
		}
		e.SetFaults(engine.Faults{})
		is.NoErr((<-running).err)
		is.NoErr(<-late)
	})
}
