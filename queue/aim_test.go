package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// overload has requests come faster than they can be served: one every period, each
// taking service of the only endpoint, and each wanted to start within aim.
func overload(q Queue, period, service, aim, patience time.Duration, n int) (inTime, late, dropped int) {
	t0 := time.Unix(0, 0)
	free := t0
	next := 0
	for now := t0; now.Before(t0.Add(time.Duration(n)*period + patience)); now = now.Add(time.Millisecond) {
		for next < n && !t0.Add(time.Duration(next)*period).After(now) {
			at := t0.Add(time.Duration(next) * period)
			next++
			if err := q.Push(at, Item{ID: uint64(next), Class: route.Long, Tokens: 1, StartBy: at.Add(aim), ExpiresAt: at.Add(patience)}); err != nil {
				panic(err)
			}
		}
		dropped += len(q.Expire(now, nil))
		if now.Before(free) {
			continue
		}
		if item, ok := q.Pop(now, func(*Item) bool { return true }); ok {
			free = now.Add(service)
			if now.After(item.StartBy) {
				late++
			} else {
				inTime++
			}
		}
	}
	return inTime, late, dropped
}

// TestAimKeepsMostInTimeUnderOverload replays a burst of half as much again as can be
// served. Order of arrival makes nearly all late; the aim has to keep at least half of
// what can be served in time.
func TestAimKeepsMostInTimeUnderOverload(t *testing.T) {
	is := is.New(t)
	const n = 300
	period, service, aim, patience := 100*time.Millisecond, 150*time.Millisecond, 2*time.Second, 6*time.Second
	fifo, _, _ := overload(NewFIFO(DefaultSettings().MaxItems), period, service, aim, patience, n)
	timely, late, dropped := overload(NewEDF(DefaultSettings()), period, service, aim, patience, n)
	t.Logf("in time: order of arrival %d, aim %d; late %d, dropped %d of %d", fifo, timely, late, dropped, n)
	is.True(timely > n/3)  // two thirds can be served
	is.True(timely > fifo) // order of arrival is worse
	is.Equal(timely+late+dropped, n)
}

func TestAimLetsLateRequestsWaitForTimelyOnes(t *testing.T) {
	is := is.New(t)
	q := NewEDF(DefaultSettings())
	t0 := time.Unix(0, 0)
	push := func(id uint64, startBy, giveUp time.Duration) {
		is.NoErr(q.Push(t0, Item{ID: id, Class: route.Long, Tokens: 10, StartBy: t0.Add(startBy), ExpiresAt: t0.Add(giveUp)}))
	}
	push(1, time.Second, 9*time.Second)
	push(2, time.Second, 8*time.Second)
	push(3, 6*time.Second, 12*time.Second)
	push(4, 5*time.Second, 12*time.Second)
	any := func(*Item) bool { return true }
	is.Equal(q.Tokens(route.Long), int64(40))
	now := t0.Add(2 * time.Second)
	var order []uint64
	for q.Len() > 0 {
		item, ok := q.Pop(now, any)
		is.True(ok)
		order = append(order, item.ID)
	}
	is.Equal(order, []uint64{4, 3, 2, 1}) // timely ones by their aim, then late ones by what is left
}

func TestAimDoesNotLetLateRequestsOvertakeTimelyOnesThatWait(t *testing.T) {
	is := is.New(t)
	q := NewEDF(DefaultSettings())
	t0 := time.Unix(0, 0)
	is.NoErr(q.Push(t0, Item{ID: 1, StartBy: t0, ExpiresAt: t0.Add(9 * time.Second)}))
	is.NoErr(q.Push(t0, Item{ID: 2, StartBy: t0.Add(3 * time.Second), ExpiresAt: t0.Add(9 * time.Second)}))
	_, ok := q.Pop(t0.Add(time.Second), func(i *Item) bool { return i.ID == 1 })
	is.True(!ok) // what is free now is kept for the one that can be in time
}

func TestAimGivesUpAndRemoves(t *testing.T) {
	is := is.New(t)
	q := NewEDF(Settings{MaxItems: 2})
	t0 := time.Unix(0, 0)
	is.NoErr(q.Push(t0, Item{ID: 1, StartBy: t0, ExpiresAt: t0.Add(time.Second)}))
	is.NoErr(q.Push(t0, Item{ID: 2, StartBy: t0, ExpiresAt: t0.Add(2 * time.Second)}))
	is.True(q.Push(t0, Item{ID: 3}) != nil) // full
	dropped := q.Expire(t0.Add(time.Second), nil)
	is.Equal(len(dropped), 1)
	is.Equal(dropped[0].Item.ID, uint64(1))
	_, ok := q.Remove(2)
	is.True(ok)
	is.Equal(q.Len(), 0)
}
