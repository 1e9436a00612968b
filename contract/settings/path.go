package settings

import (
	"path"
	"regexp"
	"strings"

	"github.com/skylarkpond/skylarkpond/domain"
)

// Path identifies a node of the tree: "/", "/places/P", "/places/P/services/S" or "/places/P/teams/T".
// With ".yaml" appended it is also the path of the node's file within the directory of declarations; the
// file of the root is RootFile.
type Path string

// Root is the path of the root node, from which all others inherit.
const Root Path = "/"

// RootFile is the name of the file that declares the root node.
const RootFile = "root.yaml"

const (
	fileSuffix      = ".yaml"
	placesSegment   = "places"
	servicesSegment = "services"
	teamsSegment    = "teams"
)

// Level is the kind of a node, given by its path. Levels are bits, so that a Level can also hold the set
// of levels at which a key may be set.
type Level uint8

// The levels.
const (
	RootLevel Level = 1 << iota
	PlaceLevel
	ServiceLevel
	TeamLevel
	// InvalidLevel is the level of a path that no node can have.
	InvalidLevel Level = 0
	anyLevel           = RootLevel | PlaceLevel | ServiceLevel | TeamLevel
)

// String returns the names of the levels in l, separated by commas.
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

// nodeNamePattern matches the name of a place, service or team. Names appear in URLs, in platform
// object names and in file names, including those of case-insensitive file systems.
var nodeNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const nodeNameDescription = "1 to 63 of a-z, 0-9 and -, not starting with -"

// PlacePath returns the path of a place.
func PlacePath(place domain.Place) Path {
	return Path("/" + placesSegment + "/" + string(place))
}

// ServicePath returns the path of a service.
func ServicePath(place domain.Place, service string) Path {
	return PlacePath(place) + Path("/"+servicesSegment+"/"+service)
}

// TeamPath returns the path of a team.
func TeamPath(place domain.Place, team string) Path {
	return PlacePath(place) + Path("/"+teamsSegment+"/"+team)
}

// Level returns the level of p, or InvalidLevel if p is not the path of a possible node.
func (p Path) Level() Level {
	if p == Root {
		return RootLevel
	}
	parts := strings.Split(string(p), "/")
	if len(parts) < 3 || parts[0] != "" || parts[1] != placesSegment || !nodeNamePattern.MatchString(parts[2]) {
		return InvalidLevel
	}
	if len(parts) == 3 {
		return PlaceLevel
	}
	if len(parts) != 5 || !nodeNamePattern.MatchString(parts[4]) {
		return InvalidLevel
	}
	switch parts[3] {
	case servicesSegment:
		return ServiceLevel
	case teamsSegment:
		return TeamLevel
	}
	return InvalidLevel
}

// Name returns the last segment of the path: the name of the place, service or team.
func (p Path) Name() string { return path.Base(string(p)) }

// Place returns the place that the node declares or belongs to; it is empty for the root.
func (p Path) Place() domain.Place {
	if p == Root {
		return ""
	}
	return domain.Place(strings.Split(string(p), "/")[2])
}

// Parent returns the path of the node that p inherits from. The parent of the root is the root.
func (p Path) Parent() Path {
	if p.Level()&(ServiceLevel|TeamLevel) != 0 {
		return PlacePath(p.Place())
	}
	return Root
}

// File returns the name of the file that declares the node, relative to the directory of declarations.
func (p Path) File() string {
	if p == Root {
		return RootFile
	}
	return strings.TrimPrefix(string(p), "/") + fileSuffix
}

// pathOfFile is the inverse of File.
func pathOfFile(file string) Path {
	if file == RootFile {
		return Root
	}
	return Path("/" + strings.TrimSuffix(file, fileSuffix))
}
