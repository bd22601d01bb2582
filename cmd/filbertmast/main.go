// Command filbertmast is a cluster scheduler for unlike workloads.
package main

func main() {}
