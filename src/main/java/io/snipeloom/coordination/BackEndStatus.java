package io.snipeloom.coordination;

/**
 * Load and health of a back end.
 *
 * @param ready whether it takes work
 * @param running the requests that it runs
 * @param queued the requests that wait in it
 * @param capacity the requests that it runs at once; 0 if unknown
 * @param startId differs for each start of the back end; empty if it gives none
 */
public record BackEndStatus(boolean ready, int running, int queued, int capacity, String startId) {}
