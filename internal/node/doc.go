// Package node assembles the processes of the system, an entry host and an agent, from
// their settings. It opens their listeners, starts their components and performs
// graceful shutdown. It contains no scheduling or routing policy of its own.
package node
