package operator

import (
	"regexp"
	"slices"

	"elderwall/core/proxycall"
	"elderwall/internal/certs"
	"elderwall/internal/configfile"
	"elderwall/internal/extproc"
)

const (
	prefixDefault = "x-elderwall-"
	mostPaths     = 1000
	mostOpen      = 1 << 20
	mostBudget    = 3600.0 // s
)

var prefixPattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,30}-$`)

// proxies reads the listener for proxies that ask for each request.
func (d *decoder) proxies(o *configfile.Object) {
	p := &Proxies{Options: extproc.Options{
		Decide: proxycall.DefaultDecisionTimeout, Rules: extproc.Rules{Prefix: prefixDefault},
		Calls: proxycall.Settings{MaxOpen: proxycall.DefaultMaxOpen, MaxProxyShare: proxycall.DefaultMaxProxyShare, HoldTime: proxycall.DefaultHoldTime},
	}}
	o.Address("listen", &p.Listen)
	if p.Listen == "" {
		o.Fault("listen", "is needed")
	}
	mode, late := "routing", "shed"
	o.Word("mode", &mode, "routing", "immediate")
	o.Word("late", &late, "shed", "pass")
	p.Rules.Routing, p.Open = mode == "routing", late == "pass"
	o.Duration("decide", &p.Decide, 0.0005, 10)
	o.Duration("hold", &p.Calls.HoldTime, 0.01, 60)
	o.Count("open", &p.Calls.MaxOpen, 1, mostOpen)
	o.Number("share", &p.Calls.MaxProxyShare, 0.001, 1)
	o.Flag("metadata", &p.Metadata)
	if o.Text("prefix", &p.Rules.Prefix); !prefixPattern.MatchString(p.Rules.Prefix) {
		o.Fault("prefix", `must be small letters, digits and "-", and end with "-"`)
	}
	paths := o.List("paths")
	if len(paths) == 0 || len(paths) > mostPaths {
		o.Fault("paths", "must be 1 to %d", mostPaths)
	}
	for i, v := range paths {
		d.path(o.Element("paths", i, v), p)
	}
	if t := o.Inner("tls"); t != nil {
		m := &certs.Material{}
		if d.material(t, m, nil) {
			p.Material = m
		}
		if s := d.config.Callers; s != nil && p.Material != nil {
			s.Authorities = append(s.Authorities, p.Material.Prints...)
		}
	}
	o.Done()
	d.config.Proxies = p
}

func (d *decoder) path(o *configfile.Object, p *Proxies) {
	rule, text := extproc.Path{Budget: proxycall.DefaultViewerTimeout}, ""
	o.Text("match", &text)
	o.Text("service", &rule.Service)
	o.Duration("budget", &rule.Budget, 0.01, mostBudget)
	o.Done()
	var err error
	if rule.Pattern, err = regexp.Compile("^(?:" + text + ")$"); err != nil || text == "" || rule.Pattern.SubexpIndex("object") < 0 {
		o.Fault("match", "must be a regular expression with a group named object, such as \"/clips/(?P<object>[0-9a-f]{16})/(?P<part>[0-9]+)\"")
		return
	}
	if !d.open && !slices.Contains(d.services, rule.Service) || rule.Service == "" {
		o.Fault("service", "%q is no delivery service", rule.Service)
	}
	p.Rules.Paths = append(p.Rules.Paths, rule)
}
