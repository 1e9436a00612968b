// Package loopback gives test processes loopback addresses of their own.
//
// What goes wrong without it: a test asks the system for a free port, lets it go, and starts a process that is to listen there. Another
// test, or a connection that goes out, takes the port in between; the process ends with "address already in use", and the
// test fails on a machine where nothing is wrong.
package loopback

import (
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// ErrNoFreeSubnet is returned when every subnet is in use.
var ErrNoFreeSubnet = eris.New("no free loopback subnet")

const (
	// lockPort is bound on the last address of a subnet by whoever uses it.
	lockPort = 7
	// subnets is how many of them one network has; 0 and 255 are left out.
	subnets = 255
)

// Subnet is 127.<network>.<Number>.0/24, held until Close.
type Subnet struct {
	Network int
	Number  int
	lock    net.Listener
}

// Acquire holds a subnet of a network that no other process holds. It returns ErrNoFreeSubnet if there is none.
func Acquire(network int) (*Subnet, error) {
	for number := 1; number < subnets; number++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.254:%d", network, number, lockPort))
		if err == nil {
			return &Subnet{Network: network, Number: number, lock: lock}, nil
		}
	}
	return nil, ErrNoFreeSubnet
}

// IP returns an address of the subnet; host is 1 to 253.
func (s *Subnet) IP(host int) string { return fmt.Sprintf("127.%d.%d.%d", s.Network, s.Number, host) }

// Close lets the subnet go.
func (s *Subnet) Close() error { return s.lock.Close() }
