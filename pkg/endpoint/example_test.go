package endpoint_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/endpoint"
)

func ExampleParse() {
	address, err := endpoint.Parse("192.0.2.1:8080")
	fmt.Println(address, err)
	_, err = endpoint.Parse("192.0.2.1")
	fmt.Println(err)
	// Output:
	// 192.0.2.1:8080 <nil>
	// endpoint.invalid: "192.0.2.1" is no address (it cannot be parsed), want an IP address and a port, such as 192.0.2.1:8080 or [2001:db8::1]:8080
}
