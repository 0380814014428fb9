/**
 * Requests that crash the replicas that serve them: the evidence that all instances share, the
 * convictions that follow from it, and the requests that are refused because of them.
 */
package io.snipeloom.crashes;
