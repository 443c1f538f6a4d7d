package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"spurwinch/internal/lab/simulation"
)

const (
	// maxBatch is the maximum number of seeds that a worker process plays beyond its first one. An interrupt waits for
	// them.
	maxBatch = 4
	// batchesPerCore is the minimum number of batches per core, so that all cores finish at about the same time.
	batchesPerCore = 4
)

// schedulePool hands seeds out to worker processes and collects their results.
type schedulePool struct {
	self    string // path of this program
	options simulation.Options
	first   uint64
	last    uint64

	mu      sync.Mutex
	next    uint64 // the first seed that no worker has yet
	results []scheduleResult
	failure error
}

// playInProcesses distributes the seeds over one worker process for each core. On an interrupt, it finishes the
// schedules in progress and returns the results so far.
func playInProcesses(options simulation.Options, first, last uint64) ([]scheduleResult, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	pool := &schedulePool{self: self, options: options, first: first, last: last, next: first}
	ctx, stop := interruptContext()
	defer stop()
	var workers sync.WaitGroup
	for range runtime.NumCPU() {
		workers.Add(1)
		go func() {
			defer workers.Done()
			pool.work(ctx)
		}()
	}
	workers.Wait()
	if pool.failure != nil {
		return nil, pool.failure
	}
	if ctx.Err() != nil {
		printf(os.Stderr, "interrupted: %d of %d schedules were played\n", len(pool.results), last-first+1)
	}
	return pool.results, nil
}

// work plays batches until none is left, a batch has failed or ctx is done.
func (p *schedulePool) work(ctx context.Context) {
	for {
		first, last, found := p.nextBatch(ctx)
		if !found {
			return
		}
		output, err := p.command(first, last).Output()
		p.collect(first, last, output, err)
	}
}

func (p *schedulePool) nextBatch(ctx context.Context) (first, last uint64, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first = p.next
	batch := min(maxBatch, (p.last-p.first)/uint64(batchesPerCore*runtime.NumCPU()))
	last = min(p.last, first+batch)
	p.next = last + 1
	return first, last, first <= p.last && p.failure == nil && ctx.Err() == nil
}

// command returns a worker process for a batch. It has a process group of its own, so that a terminal's interrupt
// reaches only the parent process.
func (p *schedulePool) command(first, last uint64) *exec.Cmd {
	options := &p.options
	command := exec.Command(p.self, "lab", "explore", exploreFailover, "--worker",
		"--seeds", fmt.Sprintf("%d..%d", first, last),
		"--nodes", strconv.Itoa(options.Nodes),
		"--zones", strconv.Itoa(options.Zones),
		"--regions", strconv.Itoa(options.Regions),
		"--hosts", strconv.Itoa(options.ServersPerZone),
		"--bears", strconv.Itoa(options.ConnectionsPerServer),
		"--use", fmt.Sprint(options.Utilization),
		"--loss", fmt.Sprint(options.Loss),
		"--length", options.Length.String(),
		"--faults", options.Scenario,
		"--policy", string(options.Policy),
		"--mutation", options.Mutation)
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	return command
}

// collect adds the results of the batch from first to last. The worker's output has one result as JSON on each line. If
// the worker failed with err, the results before the failure are added too. The newest of several failures is kept.
func (p *schedulePool) collect(first, last uint64, output []byte, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failure = fmt.Errorf("seeds %d..%d: %w", first, last, err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(output)), "\n") {
		var result scheduleResult
		if json.Unmarshal([]byte(line), &result) != nil {
			continue // the worker printed nothing, or the line is truncated
		}
		if first <= result.Seed && result.Seed <= last {
			p.results = append(p.results, result)
		}
	}
}
