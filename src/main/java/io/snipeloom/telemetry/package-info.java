/** Structured logging and metrics of an instance. Neither blocks the threads that use them. */
package io.snipeloom.telemetry;
