// Command fetch asks a dispatcher for one part of an object and prints what it answers.
package main

import (
	"flag"
	"fmt"
	"log"
	"math/rand/v2"

	"elderwall/internal/standin"
)

func main() {
	address := flag.String("dispatcher", "127.0.0.1:4100", "where the dispatcher listens")
	service := flag.String("service", "segment", "delivery service")
	object := flag.String("object", "7f3a9c21e0b4d655", "object, 16 hex digits")
	part := flag.String("part", "0", "part of the object")
	flag.Parse()
	c, err := standin.Dial(*address)
	if err != nil {
		log.Fatal(err)
	}
	ready, err := c.Probe()
	if err != nil {
		log.Fatal(err)
	}
	if !ready {
		log.Fatal("the dispatcher is not ready")
	}
	if _, err := c.Process(standin.Fields("rid", fmt.Sprintf("%016x", rand.Uint64()), "method", *service,
		"budget", "2500", "obj", *object, "nth", *part), ""); err != nil {
		log.Fatal(err)
	}
	r, err := c.Read()
	if err != nil {
		log.Fatal(err)
	}
	fmt.Printf("%s, %d bytes\n%.200s\n", r.Kind, len(r.Body), r.Body)
}
