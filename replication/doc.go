// Package replication replicates the directory from its source to every node.
// It selects the nodes of each data centre that read the source of routes and
// instances; all other nodes, their followers, poll these readers. Every node
// derives the readers from the instances it knows, without coordination: when
// views differ, a few extra source calls are made.
package replication
