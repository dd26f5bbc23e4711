package model_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"plantainfold.example/fold/model"
)

// partitioned returns a day on which up to three groups of partitions follow each other. The partitions of a group begin
// within a few seconds, so the pool changes owners several times within a lease while hosts are reached by some entries only.
func partitioned(seed uint64) model.Day {
	random := rand.New(rand.NewPCG(seed, 77))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	day := model.PlanningDay(seed)
	day.Length = 20 * time.Second
	day.SettleTime = 75 * time.Second
	day.Hosts = 12 + random.IntN(12)
	day.Entries = 3 + random.IntN(3)
	for i := range day.Classes {
		day.Classes[i].Rate *= float64(day.Hosts) / 48 * (0.5 + random.Float64())
		day.Classes[i].CancelAfter /= 3
	}
	for range 1 + random.IntN(3) {
		begin := 3*time.Second + upTo(16*time.Second)
		spread := 500*time.Millisecond + upTo(6*time.Second)
		length := 500*time.Millisecond + upTo(12*time.Second)
		for range 2 + random.IntN(6) {
			p := model.Partition{
				Kind: model.PartitionKind(random.IntN(int(model.PartitionKinds))), At: begin + upTo(spread), Duration: 200*time.Millisecond + upTo(length),
				Entries: model.EntryChoice(random.IntN(int(model.EntryChoices))), Direction: model.Direction(random.IntN(int(model.Directions))),
				Hosts: model.HostChoice{Share: 0.05 + 0.5*random.Float64()}, Slowness: 50*time.Millisecond + upTo(800*time.Millisecond),
			}
			if random.IntN(2) == 0 {
				p.Hosts.Racks = 1 + random.IntN(3)
			}
			if p.Kind == model.HostsRestart || p.Kind == model.EntriesCrash {
				p.Duration = 100*time.Millisecond + upTo(2*time.Second)
			}
			day.Partitions = append(day.Partitions, p)
		}
	}
	return day
}

// Guards against a new owner that starts a task again, or counts it as lost, while an entry that owned the pool before still
// renews the lease of its run or started it without a record.
func TestRandomPartitions(t *testing.T) {
	for i := range *partitionSeeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			day := partitioned(seed)
			var opts []model.Option
			if *trace != "" {
				file, err := os.Create(*trace)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = file.Close() }()
				opts = append(opts, model.WithLog(file))
			}
			counts, broken := model.Play(day, opts...)
			for _, line := range broken[:min(len(broken), 5)] {
				t.Errorf("seed %d: %s", seed, line)
			}
			if t.Failed() {
				t.Logf("partitions: %+v", day.Partitions)
			}
			if counts.Jobs == 0 || counts.Completed == 0 {
				t.Errorf("seed %d: %d jobs, %d completed", seed, counts.Jobs, counts.Completed)
			}
		})
	}
}
