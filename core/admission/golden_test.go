package admission_test

import (
	"testing"

	"elderwall/core/admission"
	"elderwall/internal/goldentest"
)

// TestGoldenReasons compares the reasons that a client is given for each rejection, whether each may be retried, and
// the default settings with the golden file.
func TestGoldenReasons(t *testing.T) {
	var tr goldentest.Transcript
	for _, r := range []admission.Rejection{
		admission.Admitted, admission.BadToken, admission.Expired, admission.BadCertificate, admission.UnknownCaller, admission.Denied,
		admission.QuotaExceeded, admission.OverFairRate, admission.TooManyChecks, admission.FleetQuotaExceeded,
	} {
		tr.Values(r.String(), r, r.Shed())
	}
	tr.Values("defaults", admission.Defaults())
	tr.Check(t, "reasons.golden")
}
