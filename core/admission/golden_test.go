package admission_test

import (
	"testing"

	"elderwall/core/admission"
	"elderwall/internal/goldentest"
)

// What a client is told of a GET that is not admitted, and whether it may try again.
func TestGoldenReasons(t *testing.T) {
	var tr goldentest.Transcript
	for _, r := range []admission.Refusal{
		admission.Passed, admission.BadToken, admission.Ended, admission.BadCertificate, admission.Nobody, admission.Denied,
		admission.ShareUsed, admission.Pressed, admission.ChecksUsed, admission.FleetUsed,
	} {
		tr.Values(r.String(), r, r.Shed())
	}
	tr.Values("defaults", admission.Defaults())
	tr.Check(t, "reasons.golden")
}
