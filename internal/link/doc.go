// Package link holds the traffic of this process to other regions under a
// budget, since the link between regions is narrow and paid by volume.
//
// The order between classes is strict. Consensus always passes and is charged.
// A request passes while the budget is not spent, and is otherwise refused with
// advice when to try again, before anything of it is sent. A copy passes only
// out of what the others leave, and waits. What one class does not use is open
// to the classes below it; what an upper class overspends is paid by the lower
// ones first.
package link
