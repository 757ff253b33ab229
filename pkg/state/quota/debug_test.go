package quota_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"

	"gypsumdock/pkg/state/quota"
)

func TestDebug(t *testing.T) {
	if os.Getenv("QDEBUG") == "" {
		t.Skip()
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for w := range 4 {
		wg.Go(func() {
			for seed := w; seed < 2400; seed += 4 {
				s := newSimulation(rand.New(rand.NewPCG(uint64(seed), 18)).IntN, quota.Rules{}, profiles[seed%4])
				if err := s.run(1200); err != nil {
					mu.Lock()
					fmt.Println(seed, profiles[seed%4].name, err, s.limit)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
}
