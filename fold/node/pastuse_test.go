package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"plantainfold.example/fold/config"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/telem"
)

// Guards against past use that is missing from the metrics, or exported for more teams than the limit.
func TestPastUseIsExported(t *testing.T) {
	telemetry, err := telem.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	limit := 0
	err = exportPastUse(telemetry, func(n int) []core.TeamUse {
		limit = n
		return []core.TeamUse{{Team: "heavy", CoreSeconds: 10000, Weighted: 2500}}
	})
	if err != nil {
		t.Fatal(err)
	}
	answer := httptest.NewRecorder()
	telemetry.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if text := answer.Body.String(); !strings.Contains(text, `plantainfold_pastuse`) || !strings.Contains(text, `team="heavy"`) || !strings.Contains(text, "} 2500") || limit != maxMeasuredTeams {
		t.Errorf("limit %d, metrics:\n%s", limit, text)
	}
}

// Guards against a setting that an entry does not read, reads in another unit, or has on without it.
func TestPastUseIsOffWithoutTheSetting(t *testing.T) {
	cases := []struct {
		text string
		want core.PastUse
	}{
		{`{}`, core.PastUse{}},
		{`{"pastuse": {"halflife": 3600e3, "floor": 1000}}`, core.PastUse{HalfLife: time.Hour, Floor: 1000}},
	}
	for _, c := range cases {
		s, err := config.Parse[Settings]("settings", []byte(c.text))
		if err != nil || s.pastUse() != c.want {
			t.Errorf("%s: %+v, error %v, want %+v", c.text, s.pastUse(), err, c.want)
		}
	}
}
