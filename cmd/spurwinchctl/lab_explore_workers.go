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
	// maxBatch is how many seeds beyond its first a worker process plays at most: an interrupt waits for these.
	maxBatch = 4
	// batchesPerCore is into how many batches the seeds are divided at least, so that cores end at about one time.
	batchesPerCore = 4
)

// schedulePool hands seeds out to worker processes and collects their results.
type schedulePool struct {
	self    string // this program
	options simulation.Options
	first   uint64
	last    uint64

	mu      sync.Mutex
	next    uint64 // the first seed that isn't handed out
	results []scheduleResult
	failure error
}

// playInProcesses has a process for each core play its part of the seeds. On an interrupt, schedules under way are
// played to their end, and the results so far are returned.
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

// work plays batches until none is left, one failed or ctx is done.
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

// command is a process that plays a batch. It has a process group of its own: a terminal's interrupt is for this
// process alone.
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

// collect takes the results of the batch from first to last: its worker's output has one as JSON on each line. After a
// failure of the worker, err, the results before it are taken too. Of several failures the newest one is kept.
func (p *schedulePool) collect(first, last uint64, output []byte, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failure = fmt.Errorf("seeds %d..%d: %w", first, last, err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(output)), "\n") {
		var result scheduleResult
		if json.Unmarshal([]byte(line), &result) != nil {
			continue // the empty text of a worker that printed nothing, or a line that is cut short
		}
		if first <= result.Seed && result.Seed <= last {
			p.results = append(p.results, result)
		}
	}
}
