/** Structured log lines and metrics of an instance; neither ever blocks a request. */
package io.snipeloom.telemetry;
