package settings

import (
	"path"
	"regexp"
	"strings"

	"github.com/skylarkpond/skylarkpond/domain"
)

// Path names a node of the tree: "/", "/places/P", "/places/P/services/S" or "/places/P/teams/T". It is
// also the place of the node's file below the directory of declarations, with ".yaml" appended;
// the root's file is RootFile.
type Path string

// Root is the path of the node that all others inherit from.
const Root Path = "/"

// RootFile is the file that declares the root.
const RootFile = "root.yaml"

const (
	fileSuffix   = ".yaml"
	placesPart   = "places"
	servicesPart = "services"
	teamsPart    = "teams"
)

// Level is the depth and kind of a node. Levels are bits, so that a key can name several.
type Level uint8

// The levels.
const (
	RootLevel Level = 1 << iota
	PlaceLevel
	ServiceLevel
	TeamLevel
	// InvalidLevel is that of a path which no node can have.
	InvalidLevel Level = 0
	anyLevel           = RootLevel | PlaceLevel | ServiceLevel | TeamLevel
)

// String lists the levels in words.
func (l Level) String() string {
	var words []string
	for _, named := range []struct {
		level Level
		word  string
	}{{RootLevel, "root"}, {PlaceLevel, "place"}, {ServiceLevel, "service"}, {TeamLevel, "team"}} {
		if l&named.level != 0 {
			words = append(words, named.word)
		}
	}
	return strings.Join(words, ", ")
}

// nodeName is the form of the name of a place, service or team. Names appear in URLs, in platform
// object names and in file names, also of file systems that ignore case.
var nodeName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const nodeNameForm = "1 to 63 of a-z, 0-9 and -, not starting with -"

// PlacePath, ServicePath and TeamPath build paths.
func PlacePath(place domain.Place) Path {
	return Path("/" + placesPart + "/" + string(place))
}

// ServicePath is the path of a service.
func ServicePath(place domain.Place, service string) Path {
	return PlacePath(place) + Path("/"+servicesPart+"/"+service)
}

// TeamPath is the path of a team.
func TeamPath(place domain.Place, team string) Path {
	return PlacePath(place) + Path("/"+teamsPart+"/"+team)
}

// Level returns the level of p, or NoLevel if no node can have this path.
func (p Path) Level() Level {
	if p == Root {
		return RootLevel
	}
	parts := strings.Split(string(p), "/")
	if len(parts) < 3 || parts[0] != "" || parts[1] != placesPart || !nodeName.MatchString(parts[2]) {
		return InvalidLevel
	}
	if len(parts) == 3 {
		return PlaceLevel
	}
	if len(parts) != 5 || !nodeName.MatchString(parts[4]) {
		return InvalidLevel
	}
	switch parts[3] {
	case servicesPart:
		return ServiceLevel
	case teamsPart:
		return TeamLevel
	}
	return InvalidLevel
}

// Name is the last part of the path: the name of the place, service or team.
func (p Path) Name() string { return path.Base(string(p)) }

// Place is the place that the node is or lies in; empty for the root.
func (p Path) Place() domain.Place {
	if p == Root {
		return ""
	}
	return domain.Place(strings.Split(string(p), "/")[2])
}

// Parent is the node that p inherits from; the root's parent is the root.
func (p Path) Parent() Path {
	if p.Level()&(ServiceLevel|TeamLevel) != 0 {
		return PlacePath(p.Place())
	}
	return Root
}

// File is the file that declares the node, relative to the directory of declarations.
func (p Path) File() string {
	if p == Root {
		return RootFile
	}
	return strings.TrimPrefix(string(p), "/") + fileSuffix
}

// pathOfFile is the reverse of File.
func pathOfFile(file string) Path {
	if file == RootFile {
		return Root
	}
	return Path("/" + strings.TrimSuffix(file, fileSuffix))
}
