// Package aggregation gives each daemon the sum of the states of all daemons, at a
// cost that hardly grows with their number.
//
// Daemons are divided into groups, by failure domain. Each daemon reports to
// its parent, the best-ranked daemon of its group that answers, and a parent
// adds up the reports of its children. Daemons without a parent are roots:
// they exchange the sums of their groups with each other and send the total to
// their children. There is no election: each daemon chooses its own parent, so
// several roots in a group, or none, are merely less efficient. A daemon whose
// parent is silent reports to the next one, and in the end is its own root.
//
// A parent is always ranked above its children, so reports never form a cycle.
// In small deployments each daemon is a group of its own and exchanges reports
// with all others.
//
// What must not be summed up, such as the use of quotas, is passed on for each
// daemon as cumulative counters, which may arrive repeatedly, late or by
// several ways without being counted twice.
//
// A Node is a state machine: messages and the current time are its input,
// messages its output.
package aggregation
