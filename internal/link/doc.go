// Package link limits the traffic of this process to other regions to a budget,
// since the link between regions is narrow and billed by volume.
//
// Classes have strict priority. Consensus traffic is always admitted and
// charged. A request is admitted while the budget is not spent; otherwise it is
// refused before any of it is sent, with a time after which to retry. A copy
// waits and uses only what the other classes leave. Budget that a class does
// not use is available to the classes below it. When a higher class overspends,
// the lower classes are the first to be delayed.
package link
