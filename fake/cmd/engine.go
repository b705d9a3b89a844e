package lavcmd

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/fake/services/lavengine"
	"lavenderswitch/fake/services/lavfault"
	"lavenderswitch/fake/services/lavjournal"
)

const (
	flagVersion        = "version"
	flagFirstToken     = "first-token"
	flagBetweenTokens  = "between-tokens"
	flagTokens         = "tokens"
	flagBatchSlope     = "batch-slope"
	flagCapacity       = "capacity"
	flagColdCapacity   = "cold-capacity"
	flagWarmUp         = "warm-up"
	flagQuality        = "quality"
	flagHardQuality    = "hard-quality"
	flagLoadTime       = "load-time"
	flagStateLag       = "state-lag"
	flagEventLag       = "event-lag"
	flagEventGaps      = "event-gaps"
	flagPrefixes       = "prefixes"
	flagMemoryVersions = "memory-versions"
	flagFenced         = "fenced"
	flagJournal        = "journal"

	// snapshotInterval is the time between two snapshots of the state, from which --state-lag selects one.
	snapshotInterval = 50 * time.Millisecond
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:   "engine",
		Usage:  "run a model engine",
		Flags:  engineFlags(),
		Action: runEngine,
	}
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		addressFlag(),
		&cli.StringSliceFlag{Name: flagVersion, Usage: "version loaded at start; may be repeated"},
		&cli.DurationFlag{Name: flagFirstToken, Usage: "time to the first token", Value: 20 * time.Millisecond},
		&cli.DurationFlag{Name: flagBetweenTokens, Usage: "time between tokens", Value: 5 * time.Millisecond},
		&cli.IntFlag{Name: flagTokens, Usage: "tokens of an answer when the request sets no limit", Value: 20},
		&cli.Float64Flag{Name: flagBatchSlope, Usage: "relative slowdown of all running answers by each further one"},
		&cli.IntFlag{Name: flagCapacity, Usage: "concurrent answers that a warm engine can handle", Value: 64},
		&cli.IntFlag{Name: flagColdCapacity, Usage: "concurrent answers that a cold engine can handle", Value: 2},
		&cli.DurationFlag{Name: flagWarmUp, Usage: "time from cold to warm; with zero, the engine starts warm"},
		&cli.StringSliceFlag{Name: flagQuality, Usage: "VERSION=PROBABILITY that an answer is acceptable; may be repeated"},
		&cli.StringSliceFlag{Name: flagHardQuality, Usage: "VERSION=PROBABILITY that the answer to a prompt with the word hard is acceptable; may be repeated"},
		&cli.DurationFlag{Name: flagLoadTime, Usage: "time to load a version", Value: time.Second},
		&cli.DurationFlag{Name: flagStateLag, Usage: "age of the reported state"},
		&cli.DurationFlag{Name: flagEventLag, Usage: "time after which a cache event is visible"},
		&cli.Float64Flag{Name: flagEventGaps, Usage: "share of the cache events that are never visible"},
		&cli.IntFlag{Name: flagPrefixes, Usage: "number of prompt prefixes that the cache holds", Value: 100},
		&cli.IntFlag{Name: flagMemoryVersions, Usage: "versions that can be loaded at the same time; zero sets no limit"},
		&cli.BoolFlag{Name: flagFenced, Usage: "refuse orders with an epoch below the highest one received"},
		journalFlag(),
		&cli.Uint64Flag{Name: flagSeed, Usage: "seed of the quality of answers and of the gaps in events", Value: 1},
	}
}

func journalFlag() cli.Flag {
	return &cli.StringFlag{Name: flagJournal, Usage: "file that keeps the runs across a restart"}
}

func runEngine(ctx context.Context, command *cli.Command) error {
	easy, err := parseProbabilities(command.StringSlice(flagQuality))
	if err != nil {
		return err
	}
	hard, err := parseProbabilities(command.StringSlice(flagHardQuality))
	if err != nil {
		return err
	}
	settings := engineSettings(command)
	settings.Quality = lavengine.Quality{Easy: easy, Hard: hard}
	journal, runs, err := lavjournal.Open(command.String(flagJournal))
	if err != nil {
		return err
	}
	settings.Journal = journal
	engine := lavengine.New(settings, lavfault.New(), time.Now())
	engine.Restore(runs)
	for _, version := range command.StringSlice(flagVersion) {
		engine.Load(lavid.VersionID(version))
	}
	background, stop := context.WithCancel(ctx)
	var workers conc.WaitGroup
	workers.Go(func() { lavlife.Tick(background, snapshotInterval, engine.TakeSnapshot) })
	err = serve(ctx, command.String(flagAddress), engine.Routes())
	stop()
	workers.Wait()
	return err
}

func engineSettings(command *cli.Command) lavengine.Settings {
	return lavengine.Settings{
		Speed: lavengine.Speed{
			FirstToken:    command.Duration(flagFirstToken),
			BetweenTokens: command.Duration(flagBetweenTokens),
			Tokens:        command.Int(flagTokens),
			BatchSlope:    command.Float64(flagBatchSlope),
		},
		Warmth: lavengine.Warmth{
			Capacity:     command.Int(flagCapacity),
			ColdCapacity: command.Int(flagColdCapacity),
			WarmUp:       command.Duration(flagWarmUp),
		},
		LoadTime:       command.Duration(flagLoadTime),
		StateLag:       command.Duration(flagStateLag),
		EventLag:       command.Duration(flagEventLag),
		EventGaps:      command.Float64(flagEventGaps),
		Prefixes:       command.Int(flagPrefixes),
		MemoryVersions: command.Int(flagMemoryVersions),
		Fenced:         command.Bool(flagFenced),
		Seed:           command.Uint64(flagSeed),
	}
}

// parseProbabilities parses pairs of the form VERSION=PROBABILITY.
func parseProbabilities(pairs []string) (map[lavid.VersionID]float64, error) {
	probabilities := make(map[lavid.VersionID]float64, len(pairs))
	for _, pair := range pairs {
		name, value, _ := strings.Cut(pair, "=")
		probability, err := strconv.ParseFloat(value, 64)
		if err != nil || probability < 0 || probability > 1 {
			return nil, errors.Errorf("quality %q is not VERSION=PROBABILITY; give a probability from 0 to 1", pair)
		}
		probabilities[lavid.VersionID(name)] = probability
	}
	return probabilities, nil
}
