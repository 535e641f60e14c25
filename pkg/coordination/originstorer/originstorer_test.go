package originstorer_test

import (
	"reflect"
	"strconv"
	"testing"
	"time"

	"radishshed.example/radishshed/pkg/coordination/originstorer"
)

var (
	start    = time.Unix(1_800_000_000, 0)
	first    = originstorer.NewVersion("engine", "v1")
	second   = originstorer.NewVersion("engine", "v2")
	other    = originstorer.NewVersion("app", "v1")
	services = []string{"engine"}
)

func origin(name string, v originstorer.Version, life time.Duration) originstorer.Origin {
	return originstorer.NewOrigin(originstorer.NewStream(name), v, start.Add(life))
}

// Guards against an origin that outlives its stream, and against one that is not replaced when
// the request went to another version before its first event.
func TestOriginsExpireAndTheLastOneCounts(t *testing.T) {
	s := originstorer.New(originstorer.Config{})
	s.Put(origin("a", first, time.Second), start)
	s.Put(origin("a", second, time.Second), start)
	s.Put(origin("b", first, time.Minute), start)
	cases := []struct {
		name string
		at   time.Duration
		want originstorer.Version
		ok   bool
	}{
		{"a", 0, second, true},
		{"a", 2 * time.Second, originstorer.Version{}, false},
		{"b", 2 * time.Second, first, true},
		{"c", 0, originstorer.Version{}, false},
	}
	for _, c := range cases {
		got, ok := s.Origin(originstorer.NewStream(c.name), start.Add(c.at))
		if ok != c.ok || got.Version() != c.want {
			t.Errorf("%s after %s: %v %v", c.name, c.at, got.Version(), ok)
		}
	}
	if n := len(s.Origins(start.Add(10 * time.Second))); n != 1 {
		t.Errorf("%d origins are left", n)
	}
}

// Guards against memory that grows with the number of streams.
func TestStoredOriginsAreBounded(t *testing.T) {
	s := originstorer.New(originstorer.Config{MaxOrigins: 10})
	now := start
	for i := range 100 {
		s.Put(originstorer.NewOrigin(originstorer.Stream(i), first, now.Add(time.Second)), now)
	}
	if n := len(s.Origins(now)); n != 10 || s.Dropped() != 90 {
		t.Errorf("%d stored, %d dropped", n, s.Dropped())
	}
	now = now.Add(time.Minute)
	s.Put(originstorer.NewOrigin(1000, first, now.Add(time.Second)), now)
	if n := len(s.Origins(now)); n != 1 {
		t.Errorf("%d stored after the others have expired", n)
	}
}

// Guards against a version that is forgotten while streams that it began may still be taken up.
func TestVersionsStayKnownAfterTheirLastTarget(t *testing.T) {
	s := originstorer.New(originstorer.Config{})
	if !s.See(first, start, start) || s.See(first, start, start) || !s.See(second, start, start) || !s.See(other, start, start) {
		t.Error("a version is new once")
	}
	later := start.Add(originstorer.VersionRetention / 2)
	s.See(second, later, later)
	cases := []struct {
		at   time.Duration
		want []originstorer.Version
	}{
		{originstorer.VersionRetention, []originstorer.Version{first, second}},
		{originstorer.VersionRetention + time.Second, []originstorer.Version{second}},
		{2 * originstorer.VersionRetention, nil},
	}
	for _, c := range cases {
		if got := s.Versions(services, start.Add(c.at)); !reflect.DeepEqual(got, c.want) {
			t.Errorf("after %s: %v, want %v", c.at, got, c.want)
		}
	}
	if s.See(first, start, start.Add(2*originstorer.VersionRetention)) {
		t.Error("an outdated entry names a version as new")
	}
}

// Guards against take-ups that are joined from two versions, and against those that are lost
// though the version can be told.
func TestResolution(t *testing.T) {
	recorded := func(v originstorer.Version) originstorer.Answer {
		return originstorer.NewAnswer(&v, []originstorer.Version{first, second})
	}
	knows := func(versions ...originstorer.Version) originstorer.Answer {
		return originstorer.NewAnswer(nil, versions)
	}
	cases := []struct {
		name    string
		own     originstorer.Answer
		asked   int
		answers []originstorer.Answer
		failed  int
		want    string // the version, or what is missing
		final   string
	}{
		{"own record", recorded(first), 0, nil, 0, "v1", "v1"},
		{"nobody asked, one version", knows(first), 0, nil, 0, "unknown", "unknown"},
		{"first answer holds it", knows(first, second), 5, []originstorer.Answer{recorded(second)}, 0, "v2", "v2"},
		{"one version, most answered", knows(first), 5, []originstorer.Answer{knows(first), knows(first), knows(first)}, 0, "v1", "v1"},
		{"one version, few answered", knows(first), 5, []originstorer.Answer{knows(first)}, 0, "pending", "v1"},
		{"another version elsewhere", knows(first), 3, []originstorer.Answer{knows(first), knows(first, second)}, 0, "pending", "unknown"},
		{"nobody has the record", knows(first, second), 2, []originstorer.Answer{knows(first, second), knows(first, second)}, 0, "unknown", "unknown"},
		{"one has not answered", knows(first, second), 2, []originstorer.Answer{knows(first, second)}, 1, "unknown", "unknown"},
		{"nobody answers", knows(first), 2, nil, 2, "unknown", "unknown"},
		{"own process knows no version", knows(), 3, []originstorer.Answer{knows(first), knows(first)}, 0, "v1", "v1"},
	}
	describe := func(r originstorer.Resolution) string {
		switch r := r.(type) {
		case originstorer.Begun:
			return r.Version().Software()
		case originstorer.Pending:
			return "pending"
		default:
			return "unknown"
		}
	}
	for _, c := range cases {
		r := originstorer.NewResolver(c.own)
		r.Ask(c.asked)
		for _, a := range c.answers {
			r.Add(a)
		}
		for range c.failed {
			r.Fail()
		}
		if got := describe(r.Resolution()); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
		if got := describe(r.Final()); got != c.final {
			t.Errorf("%s at the end: %s, want %s", c.name, got, c.final)
		}
	}
}

// Guards against messages that lose or change what they carry.
func TestMessages(t *testing.T) {
	origins := []originstorer.Origin{origin("a", first, time.Second), origin("b", second, time.Minute), origin("c", first, 2*time.Second)}
	data, err := originstorer.EncodeOrigins(origins, start)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := originstorer.DecodeOrigins(data, start)
	if err != nil || len(decoded) != len(origins) {
		t.Fatalf("%v %v", decoded, err)
	}
	store := originstorer.New(originstorer.Config{})
	for _, o := range decoded {
		store.Put(o, start)
	}
	for _, o := range origins {
		if got, ok := store.Origin(o.Stream(), start); !ok || got.Version() != o.Version() || !got.ExpiresAt().Equal(o.ExpiresAt()) {
			t.Errorf("%v, want %v", got, o)
		}
	}
	answers := []originstorer.Answer{
		originstorer.NewAnswer(&first, []originstorer.Version{first, second}),
		originstorer.NewAnswer(nil, []originstorer.Version{}),
	}
	for _, a := range answers {
		data, err := originstorer.EncodeAnswer(a)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := originstorer.DecodeAnswer(data); err != nil || !reflect.DeepEqual(got, a) {
			t.Errorf("%v %v, want %v", got, err, a)
		}
	}
	query := originstorer.NewQuery(originstorer.NewStream("a"), services)
	data, err = originstorer.EncodeQuery(query)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := originstorer.DecodeQuery(data); err != nil || !reflect.DeepEqual(got, query) {
		t.Errorf("%v %v, want %v", got, err, query)
	}
}

// Guards against malformed messages that end the process or are taken.
func FuzzDecodeOrigins(f *testing.F) {
	data, err := originstorer.EncodeOrigins([]originstorer.Origin{origin("a", first, time.Second)}, start)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x81, 0x84, 0x60, 0x60, 0x81, 0x01, 0x80}) // a stream without a lifetime
	f.Fuzz(func(t *testing.T, data []byte) {
		origins, err := originstorer.DecodeOrigins(data, start)
		if err != nil {
			return
		}
		for _, o := range origins {
			if o.ExpiresAt().Before(start) || o.ExpiresAt().After(start.Add(originstorer.VersionRetention)) {
				t.Errorf("an origin expires at %s", o.ExpiresAt())
			}
		}
	})
}

// Guards against holders that change for most streams when one process joins or leaves.
func TestHoldersChangeLittle(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	const streams = 1000
	kept := 0
	for i := range streams {
		stream := originstorer.NewStream(strconv.Itoa(i))
		before := originstorer.Holders(stream, names)
		if len(before) != originstorer.HolderCount {
			t.Fatalf("%d holders", len(before))
		}
		for _, holder := range originstorer.Holders(stream, names[1:]) {
			for _, b := range before {
				if b == holder {
					kept++
				}
			}
		}
	}
	if kept < streams*(originstorer.HolderCount-1) {
		t.Errorf("%d of %d holders stay when one of five processes leaves", kept, streams*originstorer.HolderCount)
	}
}
