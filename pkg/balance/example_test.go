package balance_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/balance"
)

func Example() {
	balancer := balance.New(balance.Options{Zone: "a", Region: "west"})
	balancer.Update([]balance.Endpoint{
		{ID: "n1", Zone: "a", Region: "west", Address: "127.0.0.1:7001"},
		{ID: "n2", Zone: "b", Region: "west", Address: "127.0.0.1:7002"},
	})

	pick, err := balancer.Pick()
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("first:", pick.Endpoint.ID)
	pick.Done(balance.Result{Outcome: balance.Shed, Load: 1, LoadKnown: true, Draining: true})

	pick, err = balancer.Pick("n1")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("second:", pick.Endpoint.ID)
	pick.Done(balance.Result{Outcome: balance.Answered})
	// Output:
	// first: n1
	// second: n2
}
