// Package deploy embeds the configurations of the two deployments that the demo
// and the benchmarks use.
package deploy

import (
	"embed"
	"fmt"

	"filberthold/config"
)

//go:embed */deployment.toml
var files embed.FS

// Load returns the configuration of the deployment with the given name.
func Load(name string) (config.Document, error) {
	file := name + "/deployment.toml"
	text, err := files.ReadFile(file)
	if err != nil {
		return config.Document{}, fmt.Errorf("no deployment %q: want hlukodenik or guild", name)
	}
	document, err := config.ParseDocument(file, text)
	if err != nil {
		return config.Document{}, fmt.Errorf("load embedded deployment: %w", err)
	}
	return document, nil
}
