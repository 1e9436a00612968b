// Package loopback reserves loopback addresses for test processes, and provides a TCP proxy that injects network faults.
//
// Reserved addresses prevent the following failure: a test obtains a free port from the system, releases it, and starts a process that
// is to listen there. In between, another test or an outgoing connection takes the port. The process ends with "address already in use",
// and the test fails although nothing is wrong.
package loopback

import (
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// ErrNoFreeSubnet means that every subnet is in use.
var ErrNoFreeSubnet = eris.New("no free loopback subnet")

const (
	// lockPort is the port that the user of a subnet listens on, at address 254 of the subnet, to reserve it.
	lockPort = 7
	// subnets is the exclusive upper bound of subnet numbers; 0 and 255 are not used.
	subnets = 255
)

// Subnet is 127.<Network>.<Number>.0/24, reserved until Close.
type Subnet struct {
	Network int
	Number  int
	lock    net.Listener
}

// Acquire reserves a subnet of a network that no other process has reserved. It returns ErrNoFreeSubnet if there is none.
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

// Close releases the subnet.
func (s *Subnet) Close() error { return s.lock.Close() }
