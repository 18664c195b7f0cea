package cmds

import (
	"errors"
	"fmt"
	"os"

	"filberthold/config"
	"filberthold/platform"
	"filberthold/quest"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check documents: answers, settings of a host, a deploy file, or the configuration of a deployment",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			var problems []error
			for _, file := range files {
				kind, err := checkFile(file)
				if err != nil {
					problems = append(problems, err)
					continue
				}
				command.Printf("%s: ok (%s)\n", file, kind)
			}
			return errors.Join(problems...)
		},
	}
}

// checkFile checks a document and returns its kind, which it infers from the
// keys.
func checkFile(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", oops.Code("unreadable").Hint("give the path of a TOML document").Wrapf(err, "read document")
	}
	keys := make(map[string]any)
	// The parser below reports syntax errors with their position.
	_ = toml.Unmarshal(text, &keys)
	if _, isAnswers := keys["questionnaire"]; isAnswers {
		answers, err := quest.Parse(file, text)
		if err == nil {
			_, err = quest.Generate(answers)
		}
		return "answers", wrapInvalid(err)
	}
	if _, isDeploy := keys["roles"]; isDeploy {
		return "deploy file", wrapInvalid(platform.CheckDeploy(file, text))
	}
	if _, isHost := keys["nodeName"]; isHost {
		_, err := platform.ParseSettings(file, text)
		return "settings of a host on the users' platform", wrapInvalid(err)
	}
	if _, isSettings := keys["callerAddress"]; isSettings {
		_, err := config.ParseSettings(file, text)
		return "settings", wrapInvalid(err)
	}
	_, err = config.ParseDeployment(file, text, 1)
	return "deployment", wrapInvalid(err)
}

// wrapInvalid adds a hint to an error of an invalid document.
func wrapInvalid(err error) error {
	if err == nil {
		return nil
	}
	return oops.Code("invalidDocument").Hint("correct the faults above; nothing was started or written").
		Wrap(fmt.Errorf("invalid document:\n%w", err))
}
