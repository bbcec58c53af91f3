// Package settings reads the INI settings file of one oatpin process: its
// role, addresses, data centre and where it writes its time line.
package settings
