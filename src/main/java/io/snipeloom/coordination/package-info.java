/**
 * Coordination between instances: log replication, budget claims, request routing and fleet
 * membership.
 */
package io.snipeloom.coordination;
