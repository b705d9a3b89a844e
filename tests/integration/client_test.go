package lavintegration

import (
	"context"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/pkg/errors"

	"lavenderswitch/tests/modules/lavcluster"
)

var programs *lavcluster.Programs

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	built, err := lavcluster.Build(context.Background())
	if err != nil {
		panic(err)
	}
	defer func() { _ = built.Remove() }()
	programs = built
	return m.Run()
}

// chatParams returns a chat request for a model.
func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("draft a dossier")},
	}
}

// TestOpenAIClientWorksUnmodified guards against a callers' interface that the official OpenAI client cannot use with only
// a base URL and an API key set.
func TestOpenAIClientWorksUnmodified(t *testing.T) {
	cluster := lavcluster.Start(t, programs, lavcluster.Options{})
	client := openai.NewClient(
		option.WithBaseURL(cluster.CallerURL(lavcluster.Entry1)+"/v1"),
		option.WithAPIKey(lavcluster.CallerKey(lavcluster.AccountBothVersions)),
	)

	t.Run("models", func(t *testing.T) {
		is := is.New(t)
		models, err := client.Models.List(t.Context())
		is.NoErr(err)
		names := make([]string, 0, len(models.Data))
		for _, model := range models.Data {
			names = append(names, model.ID)
		}
		is.Equal(names, []string{"auto", "small", "small-1", "small-2"})
	})

	t.Run("plain", func(t *testing.T) {
		is := is.New(t)
		answer, err := client.Chat.Completions.New(t.Context(), chatParams("auto"))
		is.NoErr(err)
		is.Equal(len(answer.Choices), 1)
		is.True(answer.Choices[0].Message.Content != "")
		is.True(answer.Usage.TotalTokens > 0)
	})

	t.Run("streamed", func(t *testing.T) {
		is := is.New(t)
		plain, err := client.Chat.Completions.New(t.Context(), chatParams("small-1"))
		is.NoErr(err)
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("small-1"))
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		is.NoErr(stream.Err())
		is.Equal(len(strings.Fields(text.String())), len(strings.Fields(plain.Choices[0].Message.Content)))
	})

	t.Run("error", func(t *testing.T) {
		is := is.New(t)
		_, err := client.Chat.Completions.New(t.Context(), chatParams("unknown"))
		var apiError *openai.Error
		is.True(errors.As(err, &apiError))
		is.Equal(apiError.StatusCode, 403)
		is.Equal(apiError.Code, "not_allowed")
	})
}
