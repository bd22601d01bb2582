package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/workerclient"
)

func TestRelaysGrowWithWorkersOfRegion(t *testing.T) {
	p := &polledWorkers{workers: map[model.WorkerID]*polledWorker{}}
	for region, n := range map[string]int{"south": workersPerRelay, "north": workersPerRelay + 1, "west": 1} {
		for i := range n {
			id := model.WorkerID(fmt.Sprint(region, i))
			p.workers[id] = &polledWorker{target: workerclient.Target{Worker: id, Region: region}}
		}
	}
	assert.DeepEqual(t, p.relaysNeeded(), map[string]int{"south": 1, "north": 2, "west": 1})
}
