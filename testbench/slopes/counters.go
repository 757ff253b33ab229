package slopes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/testbench/cluster"
)

// Series are the values of an instance's metrics by name and labels.
type Series map[string]float64

// ParseSeries reads Prometheus' text format. Lines that are no sample are
// skipped.
func ParseSeries(r io.Reader) (Series, error) {
	series := Series{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		space := strings.LastIndexByte(line, ' ')
		if space < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		value, err := strconv.ParseFloat(line[space+1:], 64)
		if err != nil {
			continue
		}
		series[line[:space]] = value
	}
	return series, lines.Err()
}

// scrape reads the metrics of an instance.
func scrape(ctx context.Context, i *cluster.Instance) (Series, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Admin+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return ParseSeries(response.Body)
}

const (
	// ticksPerSecond is the unit of the times in /proc, USER_HZ of Linux.
	ticksPerSecond = 100
	// userField and systemField are the fields of /proc/PID/stat that follow
	// the name, counted from zero.
	userField   = 11
	systemField = 12
)

// processorTime returns the time that a process has run, from /proc.
func processorTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	return parseStat(string(stat))
}

func parseStat(stat string) (time.Duration, error) {
	end := strings.LastIndexByte(stat, ')')
	fields := strings.Fields(stat[end+1:])
	if end < 0 || len(fields) <= systemField {
		return 0, errors.Errorf("unknown format of stat: %q", stat)
	}
	var ticks time.Duration
	for _, field := range []int{userField, systemField} {
		value, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += time.Duration(value)
	}
	return ticks * time.Second / ticksPerSecond, nil
}

// residentBytes returns the resident memory of a process, from /proc.
func residentBytes(pid int) (int, error) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0, errors.Errorf("unknown format of statm: %q", statm)
	}
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize(), err
}
