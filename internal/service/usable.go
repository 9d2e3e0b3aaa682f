package service

import (
	"errors"
	"fmt"
	"slices"

	"elderwall/settings"
)

// usable tells what of the settings no GET could be served by. Guards against a dispatcher that starts, says that it is ready, and fails all of a
// class: what has no sense at all is told at the start, by its name.
func usable(s settings.Settings) error {
	for i, name := range s.Services {
		switch {
		case name == "":
			return errors.New("settings: a class without a name")
		case slices.Contains(s.Services[:i], name):
			return fmt.Errorf("settings: class %q is named twice", name)
		case s.Settings.Services[i].ViewerTimeout <= 0:
			return fmt.Errorf("settings: deadline of class %q: not above 0", name)
		}
	}
	for name, below := range map[string]bool{"maxAttempts": s.MaxForwards < 0, "connectTimeout": s.ConnectTimeout < 0, "idleClose": s.IdleClose < 0} {
		if below {
			return fmt.Errorf("settings: %s: below 0", name)
		}
	}
	return nil
}
