package main

import "strconv"

type (
	config struct {
		Version      string
		Services     []configService
		Limits       configLimits
		VirtualHosts []virtualHost
	}

	configService struct {
		Name       string
		HealthPath string
		MaxConns   int
		Protocol   string
		TLS        bool `json:"Tls"`
	}

	configLimits struct {
		MaxHeaderBytes int
		MaxBodyBytes   int64
		HeaderTimeout  string
		IdleTimeout    string
	}

	virtualHost struct {
		Host  string
		Paths []path
	}

	path struct {
		Name          string
		Prefix        string
		Kind          string
		Timeout       string
		TargetLatency string
		Priority      int
		Service       string
		MaxAttempts   int
	}

	serverEntry struct {
		Address string
		Info    serverInfo
		Status  serverStatus
	}

	serverInfo struct {
		Service string
		Version string
		Zone    string
		Slots   int
	}

	serverStatus struct {
		State    string
		Seq      int
		ColdLeft string
	}
)

// newConfig returns a configuration as in the example of the pages, with the
// given routes.
func newConfig(version int, services []string, paths []path) config {
	c := config{Version: "r" + strconv.Itoa(version), VirtualHosts: []virtualHost{{Host: "hulo84.example", Paths: paths}},
		Limits: configLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"}}
	for _, s := range services {
		c.Services = append(c.Services, configService{Name: s, HealthPath: "/health", MaxConns: 748, Protocol: "h1"})
	}
	return c
}
