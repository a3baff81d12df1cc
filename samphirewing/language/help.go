package language

import (
	"fmt"
	"strings"
)

// Topic is one help page.
type Topic struct {
	Name    string
	Syntax  string
	About   string
	Example string
}

// Topics returns all help pages, in the order of docs/LANGUAGE.md.
func Topics() []Topic { return topics }

var topics = []Topic{
	{"create", "create <kind> <name> <property> <value> ... [if revision 0]",
		"Makes a new object. `help tier`, `help organisation` and so on list the properties of each kind.",
		"create tier counter rank 0 deadline 20s"},
	{"alter", "alter <kind> <name> <property> <value> ... [if revision <n>]",
		"Changes properties of an object; the others stay.",
		"alter organisation joyeria-sol weight 3"},
	{"drop", "drop <kind> <name> [if revision <n>]",
		"Deletes an object that nothing refers to. Kinds are those of create, and model and setting.",
		"drop tier batch"},
	{"serve", "serve <model> on <pool> [if revision <n>]",
		"Declares which pool serves a model. `drop model` takes it back.",
		"serve engraver-large on drafting"},
	{"drain", "drain endpoint <name> [if revision <n>]",
		"Gives an endpoint no new work; what runs there goes on.",
		"drain endpoint runner-1"},
	{"undrain", "undrain endpoint <name> [if revision <n>]",
		"Gives a drained endpoint work again.",
		"undrain endpoint runner-1"},
	{"set", "set <name> to <value> [if revision <n>]",
		"Gives a setting, which all daemons share, a value. `drop setting` takes it back.",
		"set entry-keep to 30s"},
	{"begin", "begin [dry run]; <changes>; commit [nowait]",
		"Makes several changes as one, which takes hold everywhere or not at all. commit waits until the change is in force on every live daemon; nowait leaves that out. abort drops the changes since begin.",
		"begin; create tier night rank 7; alter organisation joyeria-sol tiers counter, bench, night; commit"},
	{"dry", "dry run <change>",
		"Checks a change as if it were made, and makes nothing. `begin dry run` does so for several.",
		"dry run drop pool orders"},
	{"if", "<change> if revision <n>",
		"Makes a change only when the object still has the revision that `show` gave. Revision 0 means that it does not exist.",
		"alter pool drafting queue 200 if revision 12"},
	{"resolve", "resolve booking <service> '<organisation>/<key>' as done|failed|not_run",
		"Settles a booking whose outcome is unknown. Ask the service first whether the call took effect. It is refused until the call can no longer be sent.",
		"resolve booking order-confirmation 'joyeria-sol/order-7' as done"},
	{"show", "show <subject> [where <condition>] [order by <column> [desc], ...] [limit <n>]",
		"Lists rows. Conditions compare a column by =, !=, <, <=, >, >= or contains, and join by and, or, not and parentheses. Subjects of daemons are asked of all of them, and those that do not answer are named.",
		"show waiting where tier = counter and age > 2s order by age desc limit 20"},
	{"watch", "watch <subject> [where ...] [order by ...] [limit <n>] [every <duration>]",
		"Shows rows again and again until interrupted.",
		"watch running where endpoint = runner-1 every 1s"},
	{"explain", "explain request|refusal|placement '<request id>'",
		"Says why a request was placed, refused or left waiting, with each endpoint that was weighed.",
		"explain refusal 'd1-17-2'"},
	{"help", "help [<topic>]", "Lists the statements, or explains one of them, a kind of object or a subject of show.", "help show"},
}

// HelpText returns the page of a topic, the overview for an empty topic, or for
// an unknown topic a line that lists the known ones.
func HelpText(topic string) string {
	if topic == "" {
		return overview()
	}
	for _, t := range topics {
		if t.Name == topic {
			return fmt.Sprintf("%s\n\n%s\n\nExample:\n  %s;\n", t.Syntax, t.About, t.Example)
		}
	}
	if kind, ok := findKind(topic); ok {
		return kindHelp(kind)
	}
	if spec, ok := subjects[Subject(topic)]; ok {
		return subjectHelp(Subject(topic), spec)
	}
	return "No help on " + Quote(topic) + "; " + suggest(topic, topicNames()) + ".\n"
}

func overview() string {
	var b strings.Builder
	b.WriteString("Statements end with ';'. `help <word>` says more about each.\n\n")
	for _, t := range topics {
		fmt.Fprintf(&b, "  %-9s %s\n", t.Name, t.Syntax)
	}
	fmt.Fprintf(&b, "\nKinds of object: %s.\nSubjects of show: %s.\n",
		strings.Join(kindNames(), ", "), strings.Join(subjectNames(), ", "))
	return b.String()
}

func topicNames() []string {
	var names []string
	for _, t := range topics {
		names = append(names, t.Name)
	}
	return append(append(names, kindNames()...), subjectNames()...)
}

func kindHelp(k kindSpec) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Properties of a %s:\n", k.kind)
	for _, p := range k.properties {
		suffix := ""
		if p.required {
			suffix = "  (needed by create)"
		}
		fmt.Fprintf(&b, "  %s %s%s\n", p.name, p.usage, suffix)
	}
	return b.String()
}

func subjectHelp(s Subject, spec subjectSpec) string {
	var b strings.Builder
	fmt.Fprintf(&b, "show %s: %s.\nColumns:\n", s, spec.description)
	for _, c := range spec.columns {
		fmt.Fprintf(&b, "  %s (%s)\n", c.Name, c.Kind)
	}
	return b.String()
}

// String returns the name of the kind in help pages.
func (k ValueKind) String() string {
	switch k {
	case KindText:
		return "text"
	case KindInteger:
		return "whole number"
	case KindNumber:
		return "number"
	case KindBool:
		return "yes or no"
	case KindDuration:
		return "duration"
	case KindTime:
		return "time"
	default:
		return "empty"
	}
}
