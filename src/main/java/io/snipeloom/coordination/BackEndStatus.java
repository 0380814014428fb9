package io.snipeloom.coordination;

/**
 * The load and the readiness of a back end.
 *
 * @param ready whether it accepts requests
 * @param running the number of requests that it is running
 * @param queued the number of requests in its queue
 * @param capacity the number of requests that it can run concurrently; 0 if unknown
 * @param startId an identifier that differs for each start of the back end; empty if the back end
 *     reports none
 */
public record BackEndStatus(boolean ready, int running, int queued, int capacity, String startId) {}
