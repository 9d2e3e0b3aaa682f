package service

import (
	"errors"
	"fmt"
	"slices"

	"elderwall/core/settings"
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
	switch {
	case s.MaxAttempts < 0:
		return errors.New("settings: maxAttempts: below 0")
	case s.ConnectTimeout < 0:
		return errors.New("settings: connectTimeout: below 0")
	case s.IdleTimeout < 0:
		return errors.New("settings: idleClose: below 0")
	}
	return nil
}
