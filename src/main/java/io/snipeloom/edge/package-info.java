/**
 * The edge daemon: a router instance on the users' platform that accepts requests of callers and
 * forwards them to replicas. It keeps no state on disk.
 */
package io.snipeloom.edge;
