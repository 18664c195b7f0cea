package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"filberthold/config"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func parse(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	name := filepath.Base(file)
	if strings.HasPrefix(name, "settings") {
		_, err = config.ParseSettings(name, text)
	} else {
		_, err = config.ParseDeployment(name, text, 1)
	}
	return err
}

// Guards against a problem that is not reported, is reported without its
// position, or is hidden by another problem of the same document.
func TestInvalidDocumentsAreRejected(t *testing.T) {
	files, err := filepath.Glob("testdata/invalid/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 20)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			err := parse(file)
			var invalid *config.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			golden.Assert(t, err.Error()+"\n", strings.TrimPrefix(strings.TrimSuffix(file, ".toml")+".txt", "testdata/"))
		})
	}
}

// Guards against checks that reject valid documents.
func TestValidDocumentsAreAccepted(t *testing.T) {
	for _, file := range []string{
		"testdata/valid.toml", "testdata/settings-valid.toml",
		"../deployments/guild/deployment.toml", "../deployments/hlukodenik/deployment.toml",
	} {
		assert.NilError(t, parse(file))
	}
}

// Guards against a parser that panics or reports a problem at a line outside the
// document.
func FuzzParseDocument(f *testing.F) {
	text, err := os.ReadFile("testdata/valid.toml")
	assert.NilError(f, err)
	f.Add(text)
	f.Add([]byte("endpoints = [{name = 'a', slots = 'b'}]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := config.ParseDocument("document", text)
		var invalid *config.InvalidError
		if !errors.As(err, &invalid) {
			assert.NilError(t, err)
			return
		}
		for _, problem := range invalid.Problems() {
			assert.Assert(t, problem.Line >= 1 && problem.Line <= 1+strings.Count(string(text), "\n"), "%v", problem)
		}
	})
}

// Guards against a deployment that differs after Describe and Build. A trace
// stores its document and builds it again for a replay.
func TestDescribeIsInverseOfBuild(t *testing.T) {
	text, err := os.ReadFile("testdata/valid.toml")
	assert.NilError(t, err)
	document, err := config.ParseDocument("valid.toml", text)
	assert.NilError(t, err)
	deployment, err := document.Build(1)
	assert.NilError(t, err)
	assert.DeepEqual(t, config.Describe(deployment), document)
}
