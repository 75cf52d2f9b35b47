package quarantine

import "testing"

func TestFingerprintTellsRequestsApart(t *testing.T) {
	base := Request{Method: "POST", Host: "a.example", Target: "/p?q=1", Credentials: []string{"c"}, Body: []byte("body"), BodyLength: 4}
	again := base
	if again.Fingerprint() != base.Fingerprint() {
		t.Error("the same request has two fingerprints")
	}
	others := map[string]Request{
		"method":               {Method: "PUT", Host: "a.example", Target: "/p?q=1", Credentials: []string{"c"}, Body: []byte("body"), BodyLength: 4},
		"host":                 {Method: "POST", Host: "b.example", Target: "/p?q=1", Credentials: []string{"c"}, Body: []byte("body"), BodyLength: 4},
		"query":                {Method: "POST", Host: "a.example", Target: "/p?q=2", Credentials: []string{"c"}, Body: []byte("body"), BodyLength: 4},
		"credentials":          {Method: "POST", Host: "a.example", Target: "/p?q=1", Credentials: []string{"d"}, Body: []byte("body"), BodyLength: 4},
		"body":                 {Method: "POST", Host: "a.example", Target: "/p?q=1", Credentials: []string{"c"}, Body: []byte("bodi"), BodyLength: 4},
		"length":               {Method: "POST", Host: "a.example", Target: "/p?q=1", Credentials: []string{"c"}, Body: []byte("body"), BodyLength: 5},
		"where a part ends":    {Method: "POST", Host: "a.example/", Target: "p?q=1", Credentials: []string{"c"}, Body: []byte("body"), BodyLength: 4},
		"credentials, in body": {Method: "POST", Host: "a.example", Target: "/p?q=1", Body: []byte("cbody"), BodyLength: 4},
	}
	for part, other := range others {
		if base.Fingerprint() == other.Fingerprint() {
			t.Errorf("requests that differ in %s have the same fingerprint", part)
		}
	}
}

func TestParseFingerprintReadsWhatWasWritten(t *testing.T) {
	written := Request{Target: "/p"}.Fingerprint()
	for _, encoded := range [][]byte{written[:], []byte(written.String())} {
		if read, ok := ParseFingerprint(encoded); !ok || read != written {
			t.Errorf("%q is read as %v, %v", encoded, read, ok)
		}
	}
	for _, bad := range []string{"", "12", "zz000000000000000000000000000000"} {
		if _, ok := ParseFingerprint([]byte(bad)); ok {
			t.Errorf("%q is taken", bad)
		}
	}
}
