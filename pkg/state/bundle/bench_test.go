package bundle_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// The design size: 2,500 databases in groups of three.
const (
	benchGroups         = 833
	benchRoutesPerGroup = 3
)

func largeFolder() []bundle.File {
	var out strings.Builder
	for g := range benchGroups {
		fmt.Fprintf(&out, "[[group]]\nid = \"g%d\"\ndatabase = \"d%d\"\nuser = \"u\"\n", g, g)
		for u := range 3 {
			fmt.Fprintf(&out, "[[group.upstream]]\nid = \"u%d-%d\"\naddress = \"10.%d.%d.%d:5432\"\ndata_centre = \"east\"\nslots = 2\nconnections = 16\n",
				g, u, u, g/250, g%250+1)
		}
		for r := range benchRoutesPerGroup {
			fmt.Fprintf(&out, "[[route]]\nname = \"g%d.r%d\"\ngroup = \"g%d\"\ntag = \"r%d\"\n", g, r, g, r)
		}
	}
	return files(out.String())
}

func BenchmarkMerge(b *testing.B) {
	folder := largeFolder()
	for b.Loop() {
		if _, problems := bundle.Merge(folder); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	merged, _ := bundle.Merge(largeFolder())
	data, digest, err := bundle.Encode(merged)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := bundle.Decode(data, digest); err != nil {
			b.Fatal(err)
		}
	}
	plain, err := json.Marshal(merged)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(plain)), "JSON-bytes")
	b.ReportMetric(float64(len(data)), "bytes")
}

// BenchmarkLookup measures the lookup of the group and the route of a statement.
func BenchmarkLookup(b *testing.B) {
	merged, _ := bundle.Merge(largeFolder())
	databases := make([]string, benchGroups)
	for g := range databases {
		databases[g] = fmt.Sprintf("d%d", g)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		group, ok := merged.GroupOfDatabase(databases[i%benchGroups])
		if !ok {
			b.Fatal("no group")
		}
		if _, ok := merged.RouteFor(group.ID, "r1", model.CallerName("desk")); !ok {
			b.Fatal("no route")
		}
	}
}
