package gateway

import (
	"context"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	store "github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/platform"
)

// CheckPlatform writes to out whether the platform answers and what it stores for this process. It starts nothing and writes nothing
// to the platform. It returns an error if the platform does not answer or holds a configuration that can't be decoded.
func CheckPlatform(ctx context.Context, config Config, out io.Writer) error {
	client := newClient(config)
	configs, err := client.List(ctx, platform.KindConfig)
	if err != nil {
		return eris.Wrap(err, "platform "+config.PlatformAddress)
	}
	servers, err := client.List(ctx, platform.KindServers)
	if err != nil {
		return eris.Wrap(err, "platform "+config.PlatformAddress)
	}
	readable := 0
	for _, object := range servers.Objects {
		if _, err := platform.DecodeServer(object); err == nil {
			readable++
		}
	}
	fmt.Fprintf(out, "settings of this process: right\nplatform: answers at revision %d\nservers: %d registered, %d of them readable\n",
		servers.Revision, len(servers.Objects), readable)
	return describeConfig(configs.Objects, out)
}

func describeConfig(objects []store.Object, out io.Writer) error {
	for _, object := range objects {
		if object.Name != platform.ConfigName {
			continue
		}
		table, err := platform.DecodeConfig(object.Value)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "configuration: version %d, %d services\n", table.Version, len(table.Services))
		return nil
	}
	fmt.Fprintln(out, "configuration: none yet; requests are refused until there is one")
	return nil
}
