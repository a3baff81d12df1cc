// Package poison finds the prompt parts that crash endpoints, and blocks the
// requests that contain them.
//
// When an endpoint crashes, the requests whose answers it had just begun are
// suspects, and so are the parts of their prompts. An answer begins with its
// first byte. Requests that the endpoint had not begun to answer can't have
// caused the crash, nor can those of which it had already sent events. A part is
// blocked once several crashes in succession incriminate it: each of them by a
// request that was sent after the crash before.
// Crashes at the same time, such as those of a failure domain without power,
// therefore count as one. An answer that goes on well clears all parts of its
// prompt of the crashes before it. Parts that were suspects in all of the same
// crashes are blocked together: a request with only some of them is sent, and is
// either answered or tells which of them is the cause.
//
// Suspects of one crash are reported one by one, by several daemons. Until all
// reports have had time to arrive, a part that is missing from a crash may still
// turn out to be a suspect of it.
//
// Daemons exchange crashes, not verdicts, so that crashes seen by different
// daemons add up. A crash is identified by the endpoint and its start, hence
// reports of the same crash by several daemons, or by several ways, count once.
//
// Blocked parts are tried again at growing intervals, with one request of one
// daemon, and are released once it is answered.
//
// A Table is a state machine: observations and the current time are its input.
package poison
