// Package settings loads and validates the INI settings file of one oatpin
// process: its role, addresses, data centre and timeline file.
package settings
