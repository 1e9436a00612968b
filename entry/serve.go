package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/skylarkpond/skylarkpond/contract"
	"github.com/skylarkpond/skylarkpond/entry/fleet"
	"github.com/skylarkpond/skylarkpond/entry/member"
	"github.com/skylarkpond/skylarkpond/entry/reach"
	"github.com/skylarkpond/skylarkpond/internal/logqueue"
	"github.com/skylarkpond/skylarkpond/internal/wait"
	"github.com/skylarkpond/skylarkpond/link/ingress"
	"github.com/skylarkpond/skylarkpond/link/peer"
	"github.com/skylarkpond/skylarkpond/link/platform"
	"github.com/skylarkpond/skylarkpond/policy/connections"
	"github.com/skylarkpond/skylarkpond/timeline"
)

// sockets holds the listening sockets. They are opened first, so that a wrong address fails the start before
// anything has been published.
type sockets struct {
	public net.Listener
	admin  net.Listener
	peer   net.PacketConn
}

func listen(config Config) (*sockets, error) {
	public, err := ingress.Listen(config.PublicAddress, connections.CallersBuffer)
	if err != nil {
		return nil, eris.Wrap(err, "--public-address")
	}
	admin, err := ingress.Listen(config.AdminAddress, connections.CallersBuffer)
	if err != nil {
		return nil, eris.Wrap(err, "--admin-address")
	}
	peer, err := net.ListenPacket("udp", config.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "--peer-address")
	}
	return &sockets{public: public, admin: admin, peer: peer}, nil
}

// Serve runs one entry until ctx ends and the entry has drained. It waits for the platform before it starts the
// roles.
func Serve(ctx context.Context, config Config) error {
	// The garbage collector works harder well before the process exceeds its memory.
	debug.SetMemoryLimit(config.memory() / 4 * 3)
	lines := logqueue.New(os.Stderr, logQueueSize)
	defer lines.Flush(logFlushTimeout)
	log, err := newLog(config, lines)
	if err != nil {
		return err
	}
	out, err := openTimeline(config.Timeline)
	if err != nil {
		return err
	}
	sockets, err := listen(config)
	if err != nil {
		return err
	}
	measures := newProcessMetrics()
	registerGauge(measures.registry, "log.lines.dropped", lines.Dropped)
	self, err := register(ctx, config, provideStore(config, measures, log), log)
	if err != nil {
		return err
	}
	recorder := timeline.NewRecorder(config.Name, out, time.Now)
	e := assemble(config, self, recorder, measures, log)
	e.registerHandlers()
	if err := e.loadMirror(ctx); err != nil {
		return err
	}
	return e.Run(ctx, sockets)
}

const (
	// logQueueSize is the number of log lines buffered for a slow reader. Further lines are dropped and counted.
	logQueueSize = 1024
	// logFlushTimeout limits the wait for the last log lines to be written when the process ends.
	logFlushTimeout = time.Second
)

func newLog(config Config, out io.Writer) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(config.LogLevel)
	if err != nil {
		return nil, eris.Wrap(ErrConfig, "--log-level: "+err.Error())
	}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(out)
	log.SetLevel(level)
	// Libraries that use the standard logger should print JSON lines as well.
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.WriterLevel(logrus.WarnLevel))
	return log.WithField("entry", config.Name), nil
}

func openTimeline(path string) (io.Writer, error) {
	switch path {
	case "":
		return nil, nil
	case "-":
		return os.Stdout, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return file, eris.Wrap(err, "--timeline")
}

// register creates the identity of this incarnation and publishes it. Peers accept no other identity.
func register(ctx context.Context, config Config, store platform.Store, log *logrus.Entry) (publishedEntry, error) {
	identity, err := peer.NewIdentity(config.Name)
	if err != nil {
		return publishedEntry{}, err
	}
	self := platform.Entry{
		Name: config.Name, PublicAddress: config.PublicAddress, PeerAddress: config.advertisedPeerAddress(), AdminAddress: config.AdminAddress,
		Place: config.Place, FailureDomain: config.FailureDomain,
		Incarnation: uuid.NewString(), Fingerprint: identity.Fingerprint(),
	}
	log.Info("publishing this entry in the platform")
	var written platform.Version
	r := &registration{store: store, self: self, onWritten: func(o platform.Object) { written = o.Version }}
	if err := r.publish(ctx, false); err != nil {
		return publishedEntry{}, eris.Wrap(err, "publishing this entry")
	}
	return publishedEntry{identity: identity, entry: self, generation: written}, nil
}

// registerHandlers registers the listeners, peer handlers and gauges that connect the components.
func (e *Entry) registerHandlers() {
	e.mirror.OnChange(platform.KindSettings, e.inForce.applyTree)
	e.mirror.OnChange(platform.KindEntry, e.applyEntry)
	e.mirror.OnChange(platform.KindPlacement, e.applyPlacement)
	e.mirror.OnChange(platform.KindQuarantine, e.guard.ApplyObject)
	e.mirror.OnChange(platform.KindSettings, func(platform.Object) { e.router.ApplySettings(e.inForce.Snapshot()) })
	e.dispatcher.table.OnChange(e.router.Put, e.router.Remove)
	e.members.Handle(reportTopic, e.applyReport)
	e.members.Handle(reachTopic, e.applyReachAnnouncement)
	e.members.Register(e.peerServer, e.pinger)
	e.dispatcher.register(e.peerServer)
	e.statusCollector.register(e.peerServer)
	e.registerTree(e.peerServer)
	registerCount(e.metrics.registry, "home.dispatches.serving", &e.dispatcher.serving)
	registerGauge(e.metrics.registry, "settings.version", func() int64 { return int64(e.inForce.Snapshot().Version) })
	registerGauge(e.metrics.registry, "members.live", func() int64 { return int64(len(e.members.Live())) })
}

func (e *Entry) applyEntry(object platform.Object) {
	if object.Deleted {
		e.members.Forget(object.Name)
		return
	}
	var entry platform.Entry
	if json.Unmarshal(object.Value, &entry) != nil {
		return
	}
	e.members.Upsert(entry, uint64(object.Version))
}

func (e *Entry) applyPlacement(object platform.Object) {
	if err := e.dispatcher.table.ApplyPlacement(object); err != nil {
		e.log.WithError(err).WithField("domain", object.Name).Error("cannot parse placement")
	}
}

func (e *Entry) applyReachAnnouncement(rumour member.Rumour) {
	var announcement reach.Announcement
	if cbor.Unmarshal(rumour.Body, &announcement) == nil {
		e.reach.HandleAnnouncement(announcement)
	}
}

func (e *Entry) applyReport(rumour member.Rumour) {
	var report fleet.Report
	if cbor.Unmarshal(rumour.Body, &report) != nil {
		return
	}
	e.dispatcher.table.ApplyReport(report)
}

// loadMirror fills the mirror from the platform, retrying during an outage.
func (e *Entry) loadMirror(ctx context.Context) error {
	for {
		err := e.follower.Load(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		e.log.WithError(err).Warn("the platform can't be read; trying again")
		wait.Pause(ctx, platformRetryDelay)
	}
}

// publicHandler returns the handler for callers.
func (e *Entry) publicHandler() http.Handler {
	service := new(restful.WebService)
	service.Path("/v1").Produces("*/*").Consumes("*/*")
	e.directory.Register(service)
	e.front.Register(service)
	container := restful.NewContainer()
	container.Add(service)
	container.ServiceErrorHandler(unknownPath)
	return e.gate.Wrap(container)
}

// unknownPath responds to requests that match no route, in the same form as every other rejection.
func unknownPath(fault restful.ServiceError, request *restful.Request, response *restful.Response) {
	defer ingress.IgnoreBody(response.ResponseWriter, request.Request)()
	problem := contract.NewRejection(fault.Code, contract.CodeUnknownPath, fault.Message,
		"see docs/INTERFACE.md for the paths and methods there are")
	if fault.Code == http.StatusMethodNotAllowed {
		problem.Code = contract.CodeMethodNotAllowed
	}
	response.AddHeader(contract.HeaderOutcome, string(problem.Outcome))
	_ = response.WriteHeaderAndJson(fault.Code, problem, restful.MIME_JSON)
}

// adminBodyTimeout limits how long an operator's request may take to send its body.
const adminBodyTimeout = 10 * time.Second

// adminHandler returns the handler for operators.
func (e *Entry) adminHandler() http.Handler {
	return ingress.WithBodyTimeout(e.operator.Handler(), adminBodyTimeout)
}

// CheckPlatform reports to out whether the platform responds and holds settings. It starts nothing and writes
// nothing to the platform.
func CheckPlatform(ctx context.Context, config Config, out io.Writer) error {
	store := provideStore(config, newProcessMetrics(), logrus.NewEntry(logrus.StandardLogger()))
	changes, err := store.List(ctx, platform.KindSettings)
	if err != nil {
		return eris.Wrap(err, "platform "+config.PlatformURL)
	}
	has := slices.ContainsFunc(changes.Objects, func(o platform.Object) bool { return o.Name == platform.SettingsName })
	fmt.Fprintf(out, "settings of this process: right\nplatform: answers at revision %d\ntree of settings: %s\n",
		changes.Revision, map[bool]string{true: "there", false: "none yet; pondctl apply makes one"}[has])
	return nil
}
